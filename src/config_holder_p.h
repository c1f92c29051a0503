// The current configuration document of this host, and its encoding for hosts that don't have it. Does no I/O.
#pragma once

#include "relay_p.h"

namespace foxtaildyke
{

class config_holder
{
public:
    /// @param failureDomain failure domain whose overlay applies to this host.
    explicit config_holder(std::string failureDomain);

    /// Applies a newer document, or the changes that follow the current document.
    /// @returns whether the current document was replaced by a newer one, or the error that made the content unusable.
    [[nodiscard]] result<bool> apply(const config_content &content);

    /// @returns the changes after this generation; the whole document for generation 0 or one older than the history;
    /// or nothing if this generation is not older than the current document.
    [[nodiscard]] config_content contentAfter(generation_number generation) const;

    [[nodiscard]] generation_number generation() const { return m_document.generation; }

    /// @returns the configuration with the overlay of this host's failure domain; null before the first configuration.
    [[nodiscard]] const router_config_ptr &view() const { return m_view; }

    /// @returns the configuration without an overlay. Relay members and their order come from it, since they
    /// must be the same on all hosts.
    [[nodiscard]] const router_config_ptr &base() const { return m_base; }

private:
    [[nodiscard]] result<bool> adopt(config_document document);

    std::string m_failureDomain;
    config_document m_document;
    router_config_ptr m_view;
    router_config_ptr m_base;
};

} // namespace foxtaildyke
