// Publishing of configuration changes; see publisher_p.h.
#include "publisher_p.h"

namespace foxtaildyke
{

namespace
{

constexpr const char *kConfigKey = "config/current";

bool isWithdrawal(const config_edit &edit)
{
    return edit.layer.empty() && edit.section.starts_with("version ") && edit.key == "state"
        && edit.value == nameOf(version_state::withdrawn);
}

std::string fieldOf(const config_edit &edit)
{
    return edit.key.empty() ? edit.section : edit.section + '/' + edit.key;
}

/// @returns a conflict for the first edit whose key a change after `seen` has also modified.
std::optional<error> findConflict(const config_document &current, const change_request &request)
{
    const auto oldest = current.history.empty() ? current.generation + 1 : current.history.front().generation;
    // Changes after `seen` that have dropped out of the history could have modified any key.
    if (oldest > request.seen + 1 && current.generation > request.seen)
        return error{error_code::conflict, "history"};
    for (const auto &change : current.history) {
        if (change.generation <= request.seen)
            continue;
        for (const auto &edit : request.edits) {
            const auto touches = [&](const config_edit &other) {
                return touchesSameKey(edit, other);
            };
            if (request.mustBeNewest || std::ranges::any_of(change.edits, touches))
                return error{error_code::conflict, fieldOf(edit)};
        }
    }
    return std::nullopt;
}

std::optional<error> findUnknownVersion(const config_document &current, const std::vector<config_edit> &edits)
{
    const auto isUnknown = [&](const config_edit &edit) {
        return !current.layers.base.contains(edit.section);
    };
    const auto unknown = std::ranges::find_if(edits, isUnknown);
    if (unknown == edits.end())
        return std::nullopt;
    return error{error_code::not_found, unknown->section};
}

std::optional<error> checkRequest(const config_document &current, const change_request &request)
{
    if (request.seen > current.generation)
        return error{error_code::stale_generation, kConfigKey};
    // Withdrawals apply to any current configuration and never conflict.
    if (std::ranges::all_of(request.edits, isWithdrawal))
        return findUnknownVersion(current, request.edits);
    return findConflict(current, request);
}

void appendHistory(config_document &document, const change_request &request)
{
    auto &history = document.history;
    history.push_back({document.generation, request.changeId, request.author, request.unixMs, request.edits});
    if (history.size() > config_document::kHistoryLength)
        history.erase(history.begin(), history.end() - config_document::kHistoryLength);
}

const config_change *findChange(const config_document &document, const std::string &changeId)
{
    const auto found = std::ranges::find(document.history, changeId, &config_change::changeId);
    return found == document.history.end() ? nullptr : &*found;
}

/// Encodes a document as JSON, dropping the oldest changes of its history until it fits into one object.
result<std::string> encodeToFit(config_document &document)
{
    auto text = encodeConfig(document);
    while (text.size() > config_publisher::kMaxDocumentBytes && document.history.size() > 1) {
        document.history.erase(document.history.begin());
        text = encodeConfig(document);
    }
    if (text.size() > config_publisher::kMaxDocumentBytes)
        return error{error_code::too_large, kConfigKey};
    return text;
}

} // namespace

struct config_publisher::operation {
    change_request request;
    published_done done;
    std::optional<instant> started; ///< set by the first tick after publish()
    instant retryAt{};
    bool waiting = false; ///< for retryAt; otherwise a call to the store is in progress
    bool finished = false;
    bool wrote = false; ///< at least one write has been sent
    bool earlierWriteInDoubt = false; ///< the previous write, conditional on the same version, also got no response
    std::optional<object_version> inDoubtVersion; ///< expected version of a write whose outcome is unknown
};

config_edit withdrawalOf(const std::string &version)
{
    return {"", "version " + version, "state", std::string(nameOf(version_state::withdrawn))};
}

bool touchesSameKey(const config_edit &left, const config_edit &right)
{
    const bool sameKey = left.key == right.key || left.key.empty() || right.key.empty();
    return left.layer == right.layer && left.section == right.section && sameKey;
}

result<config_document> addChange(const config_document &current, const change_request &request)
{
    if (const auto refused = checkRequest(current, request))
        return *refused;
    auto layers = applyEdits(current.layers, request.edits);
    if (layers.has_error())
        return layers.error();
    if (diffLayers(current.layers, layers.value()).empty())
        return current;
    const auto checked = checkLayers(layers.value());
    if (checked.has_error())
        return checked.error();
    config_document next{current.generation + 1, std::move(layers.value()), current.history};
    appendHistory(next, request);
    return next;
}

config_publisher::config_publisher(object_store &store)
    : m_store(store)
    , m_alive(std::make_shared<bool>(true))
{
}

config_publisher::~config_publisher()
{
    *m_alive = false;
}

void config_publisher::publish(change_request request, published_done done)
{
    auto open = std::make_shared<operation>();
    open->request = std::move(request);
    open->done = std::move(done);
    m_open.push_back(open);
    readFor(open);
}

void config_publisher::read(read_done done)
{
    m_store.read(kConfigKey, [done = std::move(done)](const result<stored_object> &read) {
        if (read.has_value())
            return done(decodeConfig(read.value().body));
        if (read.error().code == error_code::not_found)
            return done(config_document{});
        done(read.error());
    });
}

void config_publisher::readFor(const operation_ptr &open)
{
    open->waiting = false;
    m_store.read(kConfigKey, [this, open, alive = m_alive](const result<stored_object> &read) {
        if (*alive && !open->finished)
            onRead(open, read);
    });
}

void config_publisher::onRead(const operation_ptr &open, const result<stored_object> &read)
{
    if (read.has_value()) {
        const auto document = decodeConfig(read.value().body);
        if (document.has_error())
            return finish(open, document.error());
        return onDocument(open, document.value(), read.value().version);
    }
    if (read.error().code == error_code::not_found)
        return onDocument(open, {}, 0);
    open->waiting = true;
    open->retryAt = m_now + kRetryDelay;
}

void config_publisher::onDocument(const operation_ptr &open, const config_document &current, object_version version)
{
    if (const auto *change = findChange(current, open->request.changeId))
        return finish(open, published_change{change->generation, current, open->wrote});
    // A write that expects a version other than the current one can no longer take effect.
    if (open->inDoubtVersion && *open->inDoubtVersion != version)
        open->inDoubtVersion.reset();
    auto next = addChange(current, open->request);
    if (next.has_error())
        return finish(open, next.error());
    if (next.value().generation == current.generation)
        return finish(open, published_change{current.generation, current, false});
    auto text = encodeToFit(next.value());
    if (text.has_error())
        return finish(open, text.error());
    open->earlierWriteInDoubt = open->inDoubtVersion.has_value();
    open->inDoubtVersion = version;
    open->wrote = true;
    auto onDone = [this, open, alive = m_alive, next = next.value()](const result<object_version> &written) {
        if (*alive && !open->finished)
            onWritten(open, written, next);
    };
    m_store.write(kConfigKey, std::move(text.value()), version, std::move(onDone));
}

void config_publisher::onWritten(const operation_ptr &open, const result<object_version> &written, config_document next)
{
    if (written.has_value()) {
        const auto generation = next.generation;
        return finish(open, published_change{generation, std::move(next), true});
    }
    const auto code = written.error().code;
    if (code == error_code::conflict)
        return readFor(open);
    if (code == error_code::too_large)
        return finish(open, written.error());
    // Only `unavailable` means that nothing was written, and only for this write. Reading the object back shows whether
    // it contains the change id.
    if (code == error_code::unavailable && !open->earlierWriteInDoubt)
        open->inDoubtVersion.reset();
    open->waiting = true;
    open->retryAt = m_now + kRetryDelay;
}

void config_publisher::tick(instant now)
{
    m_now = now;
    const auto operations = std::vector(m_open.begin(), m_open.end());
    for (const auto &open : operations) {
        if (!open->started)
            open->started = now;
        const auto isLate = now - *open->started >= kPublishTimeout;
        if (isLate && !open->finished)
            finish(open, error{open->inDoubtVersion ? error_code::timed_out : error_code::unavailable, kConfigKey});
        else if (open->waiting && now >= open->retryAt)
            readFor(open);
    }
}

void config_publisher::finish(const operation_ptr &open, result<published_change> outcome)
{
    open->finished = true;
    m_open.remove(open);
    open->done(std::move(outcome));
}

} // namespace foxtaildyke
