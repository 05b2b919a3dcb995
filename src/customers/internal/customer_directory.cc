#include "customers/customer_directory.h"

#include <xxhash.h>

#include <utility>

namespace lentilhead::customers {

namespace {

template <typename Key>
const Customer* FindIn(const std::unordered_map<std::string, std::shared_ptr<const Customer>>& map,
                       const Key& key) {
  const auto found = map.find(std::string(key));
  return found == map.end() ? nullptr : found->second.get();
}

}  // namespace

void CustomerDirectory::Add(Customer customer, const std::vector<std::string>& api_keys) {
  if (this->by_name.contains(customer.name)) {
    return;
  }
  customer.key = XXH32(customer.name.data(), customer.name.size(), 0);
  auto shared = std::make_shared<const Customer>(std::move(customer));
  this->customers.push_back(shared);
  this->by_name.emplace(shared->name, shared);
  for (const std::string& api_key : api_keys) {
    this->by_api_key.emplace(api_key, shared);
  }
}

const Customer* CustomerDirectory::FindByApiKey(std::string_view api_key) const {
  return FindIn(this->by_api_key, api_key);
}

const Customer* CustomerDirectory::FindByName(const std::string& name) const {
  return FindIn(this->by_name, name);
}

}  // namespace lentilhead::customers
