#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

#include "framework/http_exchange.h"
#include "framework/timer_service.h"

namespace lentilhead::standin {

/// Streams model weights at a total rate that all downloads share equally.
class WeightStore {
 public:
  /// @param timers timer service of the thread; must outlive the store.
  /// @param bytes_per_second total rate of all downloads.
  /// @param size size of every model's weights in bytes.
  WeightStore(framework::TimerService& timers, double bytes_per_second, std::size_t size)
      : timers(timers), bytes_per_second(bytes_per_second), size(size) {}

  /// Starts to stream the weights in response to a request.
  void Serve(const std::shared_ptr<framework::HttpExchange>& exchange);

  /// Number of running downloads.
  [[nodiscard]] std::size_t Running() const { return this->downloads.size(); }

 private:
  struct Download {
    std::shared_ptr<framework::HttpExchange> exchange;
    std::size_t remaining_bytes;
  };

  void SendShares();

  framework::TimerService& timers;
  double bytes_per_second;
  std::size_t size;
  std::list<Download> downloads;
  framework::MonotonicTime last_sent;
  framework::TimerSubscription send_timer;
};

}  // namespace lentilhead::standin
