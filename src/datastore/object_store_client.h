#pragma once

#include <functional>
#include <memory>
#include <string>

#include "datastore/platform_settings.h"
#include "datastore/types/object_error.h"
#include "framework/http_client.h"
#include "framework/metrics.h"
#include "framework/result.h"

namespace lentilhead::datastore {

/// Client of the platform's object store (S3 REST, path style).
///
/// Every handler is called exactly once, never inside the call, and not after the client has been
/// destroyed.
class ObjectStoreClient {
 public:
  using BodyHandler = std::function<void(framework::Reply<std::string, ObjectError>)>;
  using DoneHandler = std::function<void(framework::Reply<framework::Done, ObjectError>)>;

  ObjectStoreClient(const PlatformSettings& settings, framework::HttpClient& http,
                    framework::Metrics& metrics);
  ObjectStoreClient(const ObjectStoreClient&) = delete;
  ObjectStoreClient& operator=(const ObjectStoreClient&) = delete;
  ~ObjectStoreClient();

  /// Stores an object under a key; a stored object with the key is replaced.
  void Put(const std::string& key, std::string body, DoneHandler handler);
  void Get(const std::string& key, BodyHandler handler);

  /// Deletes an object; a missing object is a success.
  void Delete(const std::string& key, DoneHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::datastore
