// Publishing of configuration changes: conditional update of `config/current`, settling of lost answers by change id,
// and the rules for operators that race. Pure over the object_store port.
#pragma once

#include "object_store_p.h"
#include "settings_p.h"

#include <list>

namespace foxtaildyke
{

/// A change that somebody wants to publish.
struct change_request {
    std::string changeId; ///< chosen by the requester; sending the same id again never makes a second change
    std::string author;
    std::int64_t unixMs = 0;
    generation_number seen = 0; ///< generation on which the requester based the change; 0: there was none
    std::vector<config_edit> edits;
    bool mustBeNewest = false; ///< conflict where any other change came after `seen`
};

/// What `config/current` held when a change was found in it, or after it was written.
struct published_change {
    generation_number generation = 0; ///< that the change made
    config_document document;
    bool isNew = false; ///< made by this call; false: it was there before, or made no difference
};

/// @returns the edit that withdraws a version.
[[nodiscard]] config_edit withdrawalOf(const std::string &version);

/// @returns whether two edits change the same key of the same layer.
[[nodiscard]] bool touchesSameKey(const config_edit &left, const config_edit &right);

/// Adds a change to a document: conflict, checks and history.
/// @returns the next document; the unchanged one where the edits make no difference.
[[nodiscard]] result<config_document> addChange(const config_document &current, const change_request &request);

/// Publishes changes one after another or at once; each is retried until it is written, refused or given up.
/// @remarks Single task; the store's callbacks come on the same task.
class config_publisher
{
public:
    using published_done = std::function<void(result<published_change>)>;
    using read_done = std::function<void(result<config_document>)>;

    static constexpr std::size_t kMaxDocumentBytes = 1'000'000; ///< values of the object API are up to 1 MB
    static constexpr std::chrono::milliseconds kRetryDelay{200};
    static constexpr std::chrono::milliseconds kPublishTimeout{10000};

    explicit config_publisher(object_store &store);
    ~config_publisher();
    config_publisher(const config_publisher &) = delete;
    config_publisher &operator=(const config_publisher &) = delete;

    /// @param done gets error_code::unavailable where nothing was written, and timed_out where the last write may still
    /// have taken effect; the requester then repeats the change with the same id.
    void publish(change_request request, published_done done);

    /// Reads the configuration; generation 0 where none exists.
    void read(read_done done);

    /// Retries what is due and gives up what is too old.
    void tick(instant now);

    [[nodiscard]] std::size_t openChanges() const { return m_open.size(); }

private:
    struct operation;
    using operation_ptr = std::shared_ptr<operation>;

    void readFor(const operation_ptr &open);
    void onRead(const operation_ptr &open, const result<stored_object> &read);
    void onDocument(const operation_ptr &open, const config_document &current, object_version version);
    void onWritten(const operation_ptr &open, const result<object_version> &written, config_document next);
    void finish(const operation_ptr &open, result<published_change> outcome);

    object_store &m_store;
    instant m_now{};
    std::list<operation_ptr> m_open;
    std::shared_ptr<bool> m_alive; ///< false once destroyed; for callbacks in flight
};

} // namespace foxtaildyke
