// The configuration document that a host holds, and its form on the way to hosts that lack it. Pure.
#pragma once

#include "relay_p.h"

namespace foxtaildyke
{

class config_holder
{
public:
    /// @param failureDomain whose overlay this host uses.
    explicit config_holder(std::string failureDomain);

    /// Takes a newer document or the changes after the one held.
    /// @returns whether the document held is newer than before; or the error that made it unusable.
    [[nodiscard]] result<bool> apply(const config_content &content);

    /// @returns what a host that holds this generation lacks.
    [[nodiscard]] config_content contentAfter(generation_number generation) const;

    [[nodiscard]] generation_number generation() const { return m_document.generation; }

    /// @returns the view of this host's failure domain; null before the first configuration.
    [[nodiscard]] const fleet_ptr &view() const { return m_view; }

    /// @returns the view without an overlay: members and their order have to be the same on all hosts.
    [[nodiscard]] const fleet_ptr &base() const { return m_base; }

private:
    [[nodiscard]] result<bool> adopt(config_document document);

    std::string m_failureDomain;
    config_document m_document;
    fleet_ptr m_view;
    fleet_ptr m_base;
};

} // namespace foxtaildyke
