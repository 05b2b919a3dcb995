#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "framework/http_exchange.h"
#include "online/types/caller.h"
#include "online/types/refusal.h"

namespace lentilhead::online {

/// Callers and operators that may use this instance, indexed by the SHA-256 of their keys.
class CallerRegistry {
 public:
  explicit CallerRegistry(const std::vector<Caller>& callers);

  /// Finds the caller that has the key in a request's header `Authorization: Bearer KEY`.
  /// @return the caller, kMissingKey without a bearer key, or kWrongKey if no caller has the key.
  [[nodiscard]] std::variant<std::shared_ptr<const Caller>, RefusalReason> Authenticate(
      const framework::HttpExchange& exchange) const;

  /// Finds the caller that has a key; compares the digests in constant time.
  /// @return null if no caller has the key.
  [[nodiscard]] std::shared_ptr<const Caller> Find(const std::string& key) const;

 private:
  /// Callers by the first characters of their key's digest. This lookup need not take constant
  /// time, because an attacker cannot choose the digest of a key.
  std::unordered_multimap<std::string, std::shared_ptr<const Caller>> callers;
};

}  // namespace lentilhead::online
