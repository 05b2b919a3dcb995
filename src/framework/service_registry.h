#pragma once

#include <map>
#include <memory>
#include <typeindex>

namespace lentilhead::framework {

/// Services that the modules of one task offer to each other, by type.
class ServiceRegistry {
 public:
  /// Offers a service; a type can be offered once.
  template <class Service>
  void Register(std::shared_ptr<Service> service) {
    this->services.emplace(std::type_index(typeid(Service)), std::move(service));
  }

  /// Returns the service of a type, or null if none was offered.
  template <class Service>
  [[nodiscard]] std::shared_ptr<Service> Resolve() const {
    const auto found = this->services.find(std::type_index(typeid(Service)));
    if (found == this->services.end()) {
      return nullptr;
    }
    return std::static_pointer_cast<Service>(found->second);
  }

 private:
  std::map<std::type_index, std::shared_ptr<void>> services;
};

}  // namespace lentilhead::framework
