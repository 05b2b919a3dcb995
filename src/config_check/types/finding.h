#pragma once

#include <string>
#include <string_view>

namespace lentilhead::config_check {

/// Something in a configuration that an operator should look at before it is sent.
struct Finding {
  enum class Kind {
    kError,          ///< a value that nodes cannot read, or that names something unknown
    kNeverMatches,   ///< an entry that no request can ever use
    kContradiction,  ///< limits that cannot hold together
  };

  Kind kind = Kind::kError;
  std::string place;  ///< path of the entry or field, such as `routes[3]`
  std::string reason;
};

[[nodiscard]] constexpr std::string_view NameOf(Finding::Kind kind) {
  switch (kind) {
    case Finding::Kind::kError:
      return "error";
    case Finding::Kind::kNeverMatches:
      return "never_matches";
    case Finding::Kind::kContradiction:
      return "contradiction";
  }
  return "";
}

}  // namespace lentilhead::config_check
