#pragma once

#include <boost/leaf.hpp>
#include <utility>
#include <variant>

namespace lentilhead::framework {

/// Value or typed error of a function that returns at once.
template <class T>
using Result = boost::leaf::result<T>;

/// Value or typed error that travels in a message or to a callback.
///
/// LEAF keeps error objects in the scope that handles them, so an error that crosses tasks or
/// main-loop turns is carried by value here.
template <class T, class E>
class Reply {
 public:
  Reply(T value) : content(std::in_place_index<0>, std::move(value)) {}  // NOLINT
  Reply(E error) : content(std::in_place_index<1>, std::move(error)) {}  // NOLINT

  [[nodiscard]] bool HasValue() const { return this->content.index() == 0; }
  explicit operator bool() const { return this->HasValue(); }

  [[nodiscard]] const T& Value() const { return std::get<0>(this->content); }
  [[nodiscard]] T& Value() { return std::get<0>(this->content); }
  [[nodiscard]] const E& Error() const { return std::get<1>(this->content); }

 private:
  std::variant<T, E> content;
};

/// Value of a Reply that carries no data.
struct Done {};

}  // namespace lentilhead::framework
