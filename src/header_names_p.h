// Names of the headers that the gateway reads and sets, so that the product's code needs no wire name. An adapter fills
// them in.
#pragma once

#include <string>
#include <vector>

namespace foxtaildyke
{

struct header_names {
    std::string requestId; ///< of one try of a caller; each try has its own
    std::string deadline; ///< ms that the sender will wait
    std::string model; ///< model that shall answer
    std::string tokenCounts; ///< "PROMPT,OUTPUT": tokens in the prompt and most tokens of the answer
    std::string lengthHint; ///< the caller's estimate of the answer's tokens
    std::string promptParts; ///< "ID:TOKENS,...": parts of the prompt in order
    std::string session; ///< session of the caller
    std::string lastEventId; ///< last event of a stream that the receiver has
    std::string account; ///< name of the client account; set by the gateway
    std::string expectReplica; ///< id of the replica that the request is meant for; set by the gateway
    std::string priority; ///< urgency at an engine, 0 first; set by the gateway
    std::string notRun; ///< present where a replica states that it did not run the request
    std::string stamp; ///< a replica's mark on its own answers
    std::string confidence; ///< 0 to 100: a model's opinion of its answer
    std::string keyScheme; ///< authorization scheme of API keys
    std::vector<std::string> reserved; ///< headers that only the gateway may send to a replica
};

} // namespace foxtaildyke
