// Conversion between the relay's messages and the wire format of proto/peer.proto. Depends on protobuf, not on gRPC.
#pragma once

#include "peer.pb.h"
#include "relay_p.h"

namespace foxtaildyke
{

[[nodiscard]] exchange_request toWire(const exchange_call &call);
[[nodiscard]] exchange_call fromWire(const exchange_request &wire);
[[nodiscard]] exchange_reply toWire(const exchange_response &response);
[[nodiscard]] exchange_response fromWire(const exchange_reply &wire);

} // namespace foxtaildyke
