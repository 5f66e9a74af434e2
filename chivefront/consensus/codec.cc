// Conversion between the types of types.h and FlatBuffers tables.
#include "chivefront/consensus/codec.h"

#include <cstring>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::consensus {
namespace {

constexpr uint32_t kMagic = 0x52464843; // "CHFR"
constexpr size_t kSizeOffset = 4;
constexpr size_t kChecksumOffset = 8;
constexpr flatbuffers::uoffset_t kMaxDepth = 8;
// An append or a record of a large batch has many small entries.
constexpr flatbuffers::uoffset_t kMaxTables = 4000000;

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template<typename Table>
const Table*
VerifiedTable(std::string_view aBytes)
{
  const auto* data = reinterpret_cast<const uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<Table>(data);
}

template<typename Table>
std::string
Finish(FlatBufferBuilder& aBuilder, Offset<Table> aRoot)
{
  aBuilder.Finish(aRoot);
  return std::string(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
                     aBuilder.GetSize());
}

auto
PackMembers(FlatBufferBuilder& aBuilder, const Membership& aMembership)
{
  std::vector<Offset<raft::Member>> members;
  members.reserve(aMembership.size());
  for (const Replica& replica : aMembership) {
    members.push_back(
      raft::CreateMember(aBuilder,
                         aBuilder.CreateString(replica.m_name),
                         replica.m_identity,
                         replica.m_voter,
                         aBuilder.CreateString(replica.m_domain),
                         replica.m_diskless,
                         static_cast<uint8_t>(replica.m_succession)));
  }
  return aBuilder.CreateVector(members);
}

auto
PackEntries(FlatBufferBuilder& aBuilder, const std::vector<Entry>& aEntries)
{
  std::vector<Offset<raft::Entry>> entries;
  entries.reserve(aEntries.size());
  for (const Entry& entry : aEntries) {
    entries.push_back(raft::CreateEntry(aBuilder,
                                        entry.m_term,
                                        entry.m_kind,
                                        aBuilder.CreateString(entry.m_data)));
  }
  return aBuilder.CreateVector(entries);
}

std::string
ToString(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

// A value that this release doesn't know makes no newcomer.
Succession
ToSuccession(uint8_t aValue)
{
  const auto last = static_cast<uint8_t>(Succession::Done);
  return aValue <= last ? static_cast<Succession>(aValue) : Succession::None;
}

template<typename Table>
Membership
UnpackMembers(const Table& aTable)
{
  Membership membership;
  if (aTable.members() != nullptr) {
    for (const raft::Member* member : *aTable.members()) {
      membership.push_back({ ToString(member->name()),
                             member->identity(),
                             member->voter(),
                             ToString(member->domain()),
                             member->diskless(),
                             ToSuccession(member->succession()) });
    }
  }
  return membership;
}

template<typename Table>
std::vector<Entry>
UnpackEntries(const Table& aTable, uint64_t aFirstIndex)
{
  std::vector<Entry> entries;
  if (aTable.entries() != nullptr) {
    entries.reserve(aTable.entries()->size());
    for (const raft::Entry* entry : *aTable.entries()) {
      entries.push_back({ entry->term(),
                          aFirstIndex + entries.size(),
                          entry->kind(),
                          ToString(entry->data()) });
    }
  }
  return entries;
}

template<typename Word>
Word
ReadLittleEndian(std::string_view aBytes, size_t aOffset)
{
  Word word = 0;
  for (size_t i = 0; i < sizeof(word); ++i) {
    word |= static_cast<Word>(static_cast<unsigned char>(aBytes[aOffset + i]))
            << (8 * i);
  }
  return word;
}

template<typename Word>
void
AppendLittleEndian(std::string& aOut, Word aWord)
{
  for (size_t i = 0; i < sizeof(aWord); ++i) {
    aOut.push_back(static_cast<char>((aWord >> (8 * i)) & 0xff));
  }
}

} // namespace

std::string
EncodeMessage(const Message& aMessage)
{
  FlatBufferBuilder builder;
  const auto members = PackMembers(builder, aMessage.m_members);
  const auto entries = PackEntries(builder, aMessage.m_entries);
  const auto data = builder.CreateString(aMessage.m_data);
  const auto domain = builder.CreateString(aMessage.m_domain);
  return Finish(builder,
                raft::CreateMessage(builder,
                                    aMessage.m_kind,
                                    aMessage.m_from,
                                    aMessage.m_to,
                                    aMessage.m_term,
                                    aMessage.m_index,
                                    aMessage.m_logTerm,
                                    aMessage.m_commitIndex,
                                    aMessage.m_round,
                                    aMessage.m_flag,
                                    aMessage.m_rejected,
                                    aMessage.m_forced,
                                    aMessage.m_hint,
                                    aMessage.m_stage,
                                    members,
                                    entries,
                                    data,
                                    domain,
                                    aMessage.m_diskless,
                                    aMessage.m_mayBootstrap));
}

absl::StatusOr<Message>
DecodeMessage(std::string_view aPayload)
{
  const auto* table = VerifiedTable<raft::Message>(aPayload);
  if (table == nullptr) {
    return base::MakeError(base::ErrorKind::BadFrame, "not a raft message");
  }
  Message message;
  message.m_kind = table->kind();
  message.m_from = table->from();
  message.m_to = table->to();
  message.m_term = table->term();
  message.m_index = table->index();
  message.m_logTerm = table->log_term();
  message.m_commitIndex = table->commit();
  message.m_round = table->round();
  message.m_flag = table->flag();
  message.m_rejected = table->rejected();
  message.m_forced = table->forced();
  message.m_hint = table->hint();
  message.m_stage = table->stage();
  message.m_members = UnpackMembers(*table);
  message.m_entries = UnpackEntries(*table, table->index() + 1);
  message.m_data = ToString(table->data());
  message.m_domain = ToString(table->domain());
  message.m_diskless = table->diskless();
  message.m_mayBootstrap = table->may_bootstrap();
  return message;
}

std::string
EncodeMembership(const Membership& aMembership)
{
  FlatBufferBuilder builder;
  const auto members = PackMembers(builder, aMembership);
  return Finish(builder, raft::CreateMembership(builder, members));
}

Membership
DecodeMembership(std::string_view aBytes)
{
  const auto* table = VerifiedTable<raft::Membership>(aBytes);
  return table == nullptr ? Membership() : UnpackMembers(*table);
}

std::string
EncodeRecord(const LogRecord& aRecord)
{
  FlatBufferBuilder builder;
  const auto members =
    PackMembers(builder, aRecord.m_hardState.m_initialMembers);
  const auto entries = PackEntries(builder, aRecord.m_entries);
  const uint64_t first =
    aRecord.m_entries.empty() ? 0 : aRecord.m_entries.front().m_index;
  return Finish(builder,
                raft::CreateLogRecord(builder,
                                      aRecord.m_header,
                                      aRecord.m_segment,
                                      aRecord.m_baseIndex,
                                      aRecord.m_baseTerm,
                                      aRecord.m_reset,
                                      aRecord.m_hardState.m_term,
                                      aRecord.m_hardState.m_vote,
                                      aRecord.m_hardState.m_stage,
                                      members,
                                      first,
                                      entries));
}

std::optional<LogRecord>
DecodeRecord(std::string_view aPayload)
{
  const auto* table = VerifiedTable<raft::LogRecord>(aPayload);
  if (table == nullptr) {
    return std::nullopt;
  }
  LogRecord record;
  record.m_header = table->header();
  record.m_segment = table->segment();
  record.m_baseIndex = table->base_index();
  record.m_baseTerm = table->base_term();
  record.m_reset = table->reset();
  record.m_hardState = {
    table->term(), table->vote(), table->stage(), UnpackMembers(*table)
  };
  record.m_entries = UnpackEntries(*table, table->first_index());
  return record;
}

std::string
EncodeSnapshot(const Snapshot& aSnapshot)
{
  FlatBufferBuilder builder;
  const auto members = PackMembers(builder, aSnapshot.m_membership);
  const auto data = builder.CreateString(aSnapshot.m_data);
  return Finish(builder,
                raft::CreateSnapshotFile(
                  builder, aSnapshot.m_index, aSnapshot.m_term, members, data));
}

std::optional<Snapshot>
DecodeSnapshot(std::string_view aPayload)
{
  const auto* table = VerifiedTable<raft::SnapshotFile>(aPayload);
  if (table == nullptr) {
    return std::nullopt;
  }
  return Snapshot{ table->index(),
                   table->term(),
                   UnpackMembers(*table),
                   ToString(table->data()) };
}

std::string
FrameRecord(std::string_view aPayload)
{
  std::string frame;
  frame.reserve(kRecordHeaderBytes + aPayload.size());
  AppendLittleEndian(frame, kMagic);
  AppendLittleEndian(frame, static_cast<uint32_t>(aPayload.size()));
  AppendLittleEndian(frame, base::StableHash(aPayload, aPayload.size()));
  frame.append(aPayload);
  return frame;
}

std::optional<std::string_view>
UnframeRecord(std::string_view aBytes)
{
  if (aBytes.size() < kRecordHeaderBytes ||
      ReadLittleEndian<uint32_t>(aBytes, 0) != kMagic) {
    return std::nullopt;
  }
  const size_t size = ReadLittleEndian<uint32_t>(aBytes, kSizeOffset);
  if (size > aBytes.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = aBytes.substr(kRecordHeaderBytes, size);
  if (ReadLittleEndian<uint64_t>(aBytes, kChecksumOffset) !=
      base::StableHash(payload, size)) {
    return std::nullopt;
  }
  return payload;
}

bool
ContainsRecord(std::string_view aBytes)
{
  std::string magic;
  AppendLittleEndian(magic, kMagic);
  size_t at = aBytes.find(magic);
  while (at != std::string_view::npos) {
    if (UnframeRecord(aBytes.substr(at))) {
      return true;
    }
    at = aBytes.find(magic, at + 1);
  }
  return false;
}

} // namespace chivefront::consensus
