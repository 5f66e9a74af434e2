// Escalation between the models of a route: the smallest model is asked first,
// and a larger one when the confidence that the upstream reports with the
// answer is too low. Models are numbered from the smallest, 0. Does no I/O.
#pragma once

#include <cstddef>

namespace chivefront::routing {

// Lowest confidence, 0 to 100, with which an answer of the smallest model is
// kept.
inline constexpr int kSmallestModelMinConfidence = 55;
// Lowest confidence for the other models. It is lower because they only get the
// requests that they are likely to be able to answer.
inline constexpr int kMiddleModelMinConfidence = 40;
// With at least this confidence the next larger model is likely to be enough;
// below it the largest model is asked.
inline constexpr int kNextModelMinConfidence = 45;

inline bool
KeepsAnswer(size_t aModel, int aConfidence)
{
  return aConfidence >= (aModel == 0 ? kSmallestModelMinConfidence
                                     : kMiddleModelMinConfidence);
}

// The model, out of aModelCount, to ask after aModel's answer with aConfidence
// was not kept.
inline size_t
LargerModel(size_t aModel, size_t aModelCount, int aConfidence)
{
  if (aModel + 1 >= aModelCount) {
    return aModel;
  }
  return aConfidence >= kNextModelMinConfidence ? aModel + 1 : aModelCount - 1;
}

} // namespace chivefront::routing
