// The interface of a consensus group that the control process uses. Tests
// implement it by a fake.
#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "chivefront/consensus/group.h"

namespace chivefront::control {

class ReplicaPort
{
public:
  virtual ~ReplicaPort() = default;

  // See the functions of consensus::Group with the same names.
  virtual void Propose(std::string aCommand,
                       consensus::Group::ProposeCallback aDone) = 0;
  virtual void ConfirmLeadership(consensus::Group::ConfirmCallback aDone) = 0;
  virtual void Receive(std::string aFrom, std::string aPayload) = 0;
  virtual void TransferLeadership() = 0;
  virtual consensus::GroupStatus Status() const = 0;
};

// Forwards every call to a consensus group, which must outlive this object.
class GroupReplica final : public ReplicaPort
{
public:
  explicit GroupReplica(consensus::Group& aGroup)
    : m_group(aGroup)
  {
  }

  void Propose(std::string aCommand,
               consensus::Group::ProposeCallback aDone) override
  {
    m_group.Propose(std::move(aCommand), std::move(aDone));
  }
  void ConfirmLeadership(consensus::Group::ConfirmCallback aDone) override
  {
    m_group.ConfirmLeadership(std::move(aDone));
  }
  void Receive(std::string aFrom, std::string aPayload) override
  {
    m_group.Receive(std::move(aFrom), std::move(aPayload));
  }
  void TransferLeadership() override { m_group.TransferLeadership(); }
  consensus::GroupStatus Status() const override { return m_group.Status(); }

private:
  consensus::Group& m_group;
};

} // namespace chivefront::control
