#pragma once

#include <string>

#include "framework/http_exchange.h"
#include "online/internal/attempt_effects.h"
#include "online/internal/online_metrics.h"

namespace lentilhead::online::internal {

/// Answers a request with an error and counts it.
void WriteRefusal(framework::HttpExchange& exchange, const Refusal& refusal,
                  OnlineMetrics& metrics);

/// Answers a request with an endpoint's whole answer.
void WriteWholeAnswer(framework::HttpExchange& exchange, const WholeAnswer& answer);

/// Writes an effect of the attempts to the caller; ignores effects that do not change the answer.
/// @param service service of the request, for the metrics.
void WriteEffect(framework::HttpExchange& exchange, const AttemptEffect& effect,
                 const std::string& service, OnlineMetrics& metrics);

}  // namespace lentilhead::online::internal
