#include "standin/platform/weight_store.h"

#include <algorithm>
#include <string>

namespace lentilhead::standin {

namespace {

constexpr std::chrono::milliseconds kSendPeriod{20};

}  // namespace

void WeightStore::Serve(const std::shared_ptr<framework::HttpExchange>& exchange) {
  exchange->StartStream(200, "application/octet-stream");
  if (this->downloads.empty()) {
    this->last_sent = this->timers.Now();
    this->send_timer = this->timers.Every(kSendPeriod, [this] { this->SendShares(); });
  }
  this->downloads.push_back({exchange, this->size});
}

void WeightStore::SendShares() {
  const framework::MonotonicTime now = this->timers.Now();
  const double seconds = std::chrono::duration<double>(now - this->last_sent).count();
  this->last_sent = now;
  this->downloads.remove_if([](const Download& download) { return download.exchange->IsClosed(); });
  if (this->downloads.empty()) {
    this->send_timer.Cancel();
    return;
  }
  const auto share = static_cast<std::size_t>(this->bytes_per_second * seconds /
                                              static_cast<double>(this->downloads.size()));
  for (Download& download : this->downloads) {
    const std::size_t sent = std::min(share, download.remaining_bytes);
    download.remaining_bytes -= sent;
    download.exchange->WriteChunk(std::string(sent, 'w'));
    if (download.remaining_bytes == 0) {
      download.exchange->FinishStream();
    }
  }
  this->downloads.remove_if([](const Download& download) { return download.remaining_bytes == 0; });
}

}  // namespace lentilhead::standin
