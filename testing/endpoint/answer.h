// What a runner answers to a request, so that a caller can tell its own answer
// from any other.
//
//   const std::string expected = standin::AnswerTo(id, request.mBody);
#ifndef TESTING_ENDPOINT_ANSWER_H
#define TESTING_ENDPOINT_ANSWER_H

#include <functional>
#include <string>
#include <string_view>

namespace mangospan::standin {

// Names the request; echoed in the answer.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
// How long the request takes, in milliseconds.
inline constexpr std::string_view kServiceTimeHeader = "X-Service-Ms";

inline std::size_t
HashOf(std::string_view aBody)
{
  return std::hash<std::string_view>()(aBody);
}

inline std::string
AnswerTo(std::string_view aRequestId, std::string_view aBody)
{
  return "answer to " + std::string(aRequestId) + " with " +
         std::to_string(HashOf(aBody));
}

} // namespace mangospan::standin

#endif // TESTING_ENDPOINT_ANSWER_H
