#include "apps/entry/file_watch.h"

#include <system_error>

namespace lentilhead::apps {

FileWatch::FileWatch(const std::vector<std::string>& files) {
  for (const std::string& file : files) {
    if (!file.empty()) {
      this->states[file] = ReadState(file);
    }
  }
}

bool FileWatch::HasChanged() {
  bool changed = false;
  for (auto& [file, state] : this->states) {
    const FileState current = ReadState(file);
    changed = changed || current != state;
    state = current;
  }
  return changed;
}

FileWatch::FileState FileWatch::ReadState(const std::string& file) {
  std::error_code error;
  FileState state;
  state.changed_at = std::filesystem::last_write_time(file, error);
  state.size = std::filesystem::file_size(file, error);
  return state;
}

}  // namespace lentilhead::apps
