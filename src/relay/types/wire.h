#pragma once

namespace lentilhead::relay {

/// Header that tells why a node does not connect a peer to an endpoint. The values are those of
/// NameOf(TunnelOutcome).
inline constexpr char kReasonHeader[] = "X-Relay-Reason";

}  // namespace lentilhead::relay
