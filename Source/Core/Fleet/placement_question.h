// The question where a router would send a request now, and its encoding as a
// request to the router's metrics endpoint.
#pragma once

#include <string>

#include "Core/Common/error.h"
#include "Core/Fleet/request_fields.h"
#include "Core/Net/http_types.h"

namespace primrosecove {

/// The request that a question is about.
struct PlacementQuestion {
  /// Path of the question on the metrics endpoint.
  static constexpr char kPath[] = "/explain";

  std::string host;
  std::string target;   ///< Path, also with a query.
  CallerFields fields;  ///< Id, deadline, model and numbers of tokens.
};

/// Returns the HTTP request that asks `question`. The key is sent in the
/// Authorization field, so that it is in no URL. Thread safe.
HttpRequest EncodeQuestion(const PlacementQuestion& question);

/// Decodes a question except for its key. Fails with kInvalidArgument if a
/// parameter is missing, unknown, repeated or malformed. Thread safe.
Result<PlacementQuestion> DecodeQuestion(const HttpRequest& request);

}  // namespace primrosecove
