// Which model of a route answers, and whether its answer is kept: the smallest
// model first, a larger one when the model itself doubts its answer. Pure.
// Models are numbered from the smallest, 0.
#pragma once

#include <cstddef>

namespace chivefront::routing {

// Confidence (0 to 100) from which an answer of the smallest model is kept.
inline constexpr int kKeepSmallest = 55;
// Of the models between, which are asked only what is likely within them.
inline constexpr int kKeepMiddle = 40;
// From this doubt upward the next larger model is likely to be enough.
inline constexpr int kSlightDoubt = 45;

inline bool
KeepsAnswer(size_t aModel, int aConfidence)
{
  return aConfidence >= (aModel == 0 ? kKeepSmallest : kKeepMiddle);
}

// The model of aModels that is asked after aModel gave an answer of
// aConfidence that was not kept.
inline size_t
LargerModel(size_t aModel, size_t aModels, int aConfidence)
{
  if (aModel + 1 >= aModels) {
    return aModel;
  }
  return aConfidence >= kSlightDoubt ? aModel + 1 : aModels - 1;
}

} // namespace chivefront::routing
