// Names of the headers that the gateway reads and sets, and the decoding of those that replicas set, provided by an
// adapter so that the core contains no wire names.
#pragma once

#include <string>
#include <vector>

namespace foxtaildyke
{

struct message_head;
struct replica_statement;

struct header_names {
    std::string requestId; ///< unique for each attempt of a caller
    std::string deadline; ///< time in ms for which the sender waits
    std::string model; ///< requested model
    std::string tokenCounts; ///< "PROMPT,OUTPUT": prompt tokens and maximum output tokens
    std::string lengthHint; ///< the caller's estimate of the number of output tokens
    std::string promptParts; ///< "ID:TOKENS,...": prompt parts in order
    std::string session; ///< session name
    std::string lastEventId; ///< id of the last event of an interrupted stream that the caller received
    std::string account; ///< name of the client account; set by the gateway
    std::string expectReplica; ///< id of the intended replica; set by the gateway
    std::string priority; ///< scheduling priority in an engine, 0 is highest; set by the gateway
    std::string keyScheme; ///< Authorization scheme for API keys
    std::vector<std::string> reserved; ///< removed from callers' requests: only the gateway may set them
    /// Decodes what a replica states about itself in the head of a response.
    replica_statement (*decodeStatement)(const message_head &) = nullptr;
};

} // namespace foxtaildyke
