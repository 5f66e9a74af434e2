// Serializes one FlatBuffers table for storage: log entries and snapshots.
//
//   std::string bytes = wire::Pack<wire::ConfigCommand>(command);
//   wire::ConfigCommandT read;
//   if (!wire::Unpack<wire::ConfigCommand>(bytes, read)) ...  // damaged
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <flatbuffers/flatbuffers.h>

namespace chivefront::wire {

// Returns the serialized form of aNative.
template<typename TableT>
std::string
Pack(const typename TableT::NativeTableType& aNative)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(TableT::Pack(builder, &aNative));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

// Returns false, and leaves aNative unchanged, when aBytes is not a valid table
// of this type.
template<typename TableT>
bool
Unpack(std::string_view aBytes, typename TableT::NativeTableType& aNative)
{
  // A snapshot holds one table per claim or bill; the verifier's default limit
  // of a million tables would reject a large snapshot.
  constexpr int kMaxDepth = 16;
  constexpr int kMaxTables = 100000000;
  // FlatBuffers reads scalars in place, so the bytes must be aligned.
  std::string aligned;
  if (reinterpret_cast<uintptr_t>(aBytes.data()) % alignof(uint64_t) != 0) {
    aligned = aBytes;
    aBytes = aligned;
  }
  const auto* data = reinterpret_cast<const uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size(), kMaxDepth, kMaxTables);
  if (aBytes.empty() || !verifier.VerifyBuffer<TableT>(nullptr)) {
    return false;
  }
  flatbuffers::GetRoot<TableT>(data)->UnPackTo(&aNative);
  return true;
}

} // namespace chivefront::wire
