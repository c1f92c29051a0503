// The current configuration document of this host; see config_holder_p.h.
#include "config_holder_p.h"

namespace foxtaildyke
{

namespace
{

/// Encodes a change for transfer as a document whose history contains only this change.
std::string encodeChange(const config_change &change)
{
    config_document document;
    document.generation = change.generation;
    document.history = {change};
    return encodeConfig(document);
}

result<config_change> decodeChange(const std::string &text)
{
    auto document = decodeConfig(text);
    if (document.has_error())
        return document.error();
    if (document.value().history.size() != 1)
        return error{error_code::protocol_violation, "changes"};
    return std::move(document.value().history.front());
}

/// Applies a change to the document of the preceding generation; changes that it already contains are skipped.
result<void> applyChange(config_document &document, config_change change)
{
    if (change.generation <= document.generation)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    if (change.generation != document.generation + 1)
        return error{error_code::stale_generation, "changes"};
    auto layers = applyEdits(document.layers, change.edits);
    if (layers.has_error())
        return layers.error();
    document.layers = std::move(layers.value());
    document.generation = change.generation;
    document.history.push_back(std::move(change));
    if (document.history.size() > config_document::kHistoryLength)
        document.history.erase(document.history.begin());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<router_config_ptr> buildView(const config_document &document, std::string_view failureDomain)
{
    auto built = buildRouterConfig(document.layers, document.generation, failureDomain);
    if (built.has_error())
        return built.error();
    return std::make_shared<const router_config>(std::move(built.value()));
}

} // namespace

config_holder::config_holder(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

result<bool> config_holder::apply(const config_content &content)
{
    if (!content.document.empty()) {
        auto document = decodeConfig(content.document);
        if (document.has_error())
            return document.error();
        return adopt(std::move(document.value()));
    }
    auto document = m_document;
    for (const auto &text : content.changes) {
        auto change = decodeChange(text);
        if (change.has_error())
            return change.error();
        const auto applied = applyChange(document, std::move(change.value()));
        if (applied.has_error())
            return applied.error();
    }
    return adopt(std::move(document));
}

result<bool> config_holder::adopt(config_document document)
{
    if (document.generation <= m_document.generation)
        return false;
    auto view = buildView(document, m_failureDomain);
    if (view.has_error())
        return view.error();
    auto base = buildView(document, {});
    if (base.has_error())
        return base.error();
    m_document = std::move(document);
    m_view = std::move(view.value());
    m_base = std::move(base.value());
    return true;
}

config_content config_holder::contentAfter(generation_number generation) const
{
    config_content content;
    if (generation >= m_document.generation)
        return content;
    const auto &history = m_document.history;
    const auto first = std::ranges::find(history, generation + 1, &config_change::generation);
    if (generation == 0 || first == history.end()) {
        content.document = encodeConfig(m_document);
        return content;
    }
    std::transform(first, history.end(), std::back_inserter(content.changes), encodeChange);
    return content;
}

} // namespace foxtaildyke
