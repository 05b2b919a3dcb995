#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace lentilhead::apps {

/// Detects changes of files by their modification times and sizes.
class FileWatch {
 public:
  /// @param files paths; empty ones are ignored.
  explicit FileWatch(const std::vector<std::string>& files);

  /// @return true if any file changed since the last call.
  bool HasChanged();

 private:
  struct FileState {
    std::filesystem::file_time_type changed_at;
    std::uintmax_t size = 0;
    bool operator==(const FileState&) const = default;
  };

  static FileState ReadState(const std::string& file);

  std::map<std::string, FileState> states;
};

}  // namespace lentilhead::apps
