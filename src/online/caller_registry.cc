#include "online/caller_registry.h"

#include "framework/hash.h"

namespace lentilhead::online {

namespace {

constexpr std::size_t kDigestPrefixLength = 8;
constexpr std::string_view kBearerPrefix = "Bearer ";

}  // namespace

CallerRegistry::CallerRegistry(const std::vector<Caller>& callers) {
  for (const Caller& caller : callers) {
    this->callers.emplace(caller.key_sha256.substr(0, kDigestPrefixLength),
                          std::make_shared<const Caller>(caller));
  }
}

std::variant<std::shared_ptr<const Caller>, RefusalReason> CallerRegistry::Authenticate(
    const framework::HttpExchange& exchange) const {
  const auto header = exchange.Header("Authorization");
  if (!header || header->compare(0, kBearerPrefix.size(), kBearerPrefix) != 0) {
    return RefusalReason::kMissingKey;
  }
  auto caller = this->Find(header->substr(kBearerPrefix.size()));
  if (!caller) {
    return RefusalReason::kWrongKey;
  }
  return caller;
}

std::shared_ptr<const Caller> CallerRegistry::Find(const std::string& key) const {
  const std::string digest = framework::Sha256Hex(key);
  const auto [first, last] = this->callers.equal_range(digest.substr(0, kDigestPrefixLength));
  std::shared_ptr<const Caller> found;
  for (auto entry = first; entry != last; ++entry) {
    if (framework::EqualInConstantTime(entry->second->key_sha256, digest)) {
      found = entry->second;
    }
  }
  return found;
}

}  // namespace lentilhead::online
