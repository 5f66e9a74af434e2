// Which model of a route answers, and whether its answer is kept: the smallest
// model first, a larger one when the model itself doubts its answer. Pure.
#pragma once

#include <cstddef>

namespace chivefront::routing {

namespace detail {

// Answers of lower confidence (0 to 100) are asked for again at the next
// larger model.
constexpr int kKeepConfidence = 55;

} // namespace detail

// Models are numbered from the smallest, 0, to aModels - 1.
struct ModelChoice
{
  size_t m_first = 0;
  // Answers below it are dropped while a larger model is left.
  int m_keepConfidence = detail::kKeepConfidence;
};

inline ModelChoice
ChooseModel(size_t /*aModels*/)
{
  return {};
}

// The model that is asked after aModel gave an answer of low confidence.
inline size_t
LargerModel(size_t aModel, size_t aModels)
{
  return aModel + 1 < aModels ? aModels - 1 : aModel;
}

} // namespace chivefront::routing
