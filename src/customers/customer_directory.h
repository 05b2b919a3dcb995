#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "customers/types/customer.h"

namespace lentilhead::customers {

/// The customers of one version of the configuration, and the API keys by which they are known.
/// Empty if the configuration knows no customers: then requests carry no keys.
class CustomerDirectory {
 public:
  /// Adds a customer. The first of two customers with the same name or key has it.
  /// @param api_keys keys that its callers may send; may be empty.
  void Add(Customer customer, const std::vector<std::string>& api_keys);

  /// Whether the configuration knows no customers.
  [[nodiscard]] bool IsEmpty() const { return this->customers.empty(); }

  /// Finds the customer that holds a key.
  /// @return null if no customer holds it. Lives as long as the directory.
  [[nodiscard]] const Customer* FindByApiKey(std::string_view api_key) const;

  /// Finds a customer by its name.
  /// @return null if there is none. Lives as long as the directory.
  [[nodiscard]] const Customer* FindByName(const std::string& name) const;

  /// All customers, in the order of the configuration.
  [[nodiscard]] const std::vector<std::shared_ptr<const Customer>>& All() const {
    return this->customers;
  }

  /// Number of keys of all customers.
  [[nodiscard]] std::size_t ApiKeyCount() const { return this->by_api_key.size(); }

 private:
  std::vector<std::shared_ptr<const Customer>> customers;
  std::unordered_map<std::string, std::shared_ptr<const Customer>> by_name;
  std::unordered_map<std::string, std::shared_ptr<const Customer>> by_api_key;
};

}  // namespace lentilhead::customers
