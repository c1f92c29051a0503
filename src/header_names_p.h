// Names of the headers that the gateway reads and sets, provided by an adapter so that the core contains no wire
// names.
#pragma once

#include <string>
#include <vector>

namespace foxtaildyke
{

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
    std::string notRun; ///< present if a replica states that it did not run the request
    std::string stamp; ///< identifies responses that originate from a replica
    std::string rateLimit; ///< requests per second that a replica accepts from all hosts together, while it states so
    std::string confidence; ///< 0 to 100: the model's confidence in its output
    std::string keyScheme; ///< Authorization scheme for API keys
    std::vector<std::string> reserved; ///< removed from callers' requests: only the gateway may set them
};

} // namespace foxtaildyke
