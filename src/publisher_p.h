// Publishing of configuration changes: conditional writes of `config/current`, resolution of lost responses by change
// id, and conflict rules for concurrent operators. All I/O goes through the object_store port.
#pragma once

#include "object_store_p.h"
#include "settings_p.h"

#include <list>

namespace foxtaildyke
{

/// A configuration change to publish.
struct change_request {
    std::string changeId; ///< chosen by the requester; retrying with the same id never makes a second change
    std::string author;
    std::int64_t unixMs = 0;
    generation_number seen = 0; ///< generation that the change is based on; 0 if none existed
    std::vector<config_edit> edits;
    bool mustBeNewest = false; ///< report a conflict if any other change was published after `seen`
};

/// Content of `config/current` in which a change was found or which includes the written change.
struct published_change {
    generation_number generation = 0; ///< created by the change
    config_document document;
    bool isNew = false; ///< published by this call; false if it already existed or had no effect
};

/// @returns the edit that withdraws a version.
[[nodiscard]] config_edit withdrawalOf(const std::string &version);

/// @returns whether two edits modify the same key of the same layer.
[[nodiscard]] bool touchesSameKey(const config_edit &left, const config_edit &right);

/// Adds a change to a document: detects conflicts, validates the result and extends the history.
/// @returns the next document, or the current one if the edits have no effect.
[[nodiscard]] result<config_document> addChange(const config_document &current, const change_request &request);

/// Publishes changes sequentially or concurrently; each is retried until it is written, rejected or timed out.
/// @remarks Not thread-safe: the store's callbacks must run on the task that uses the object.
class config_publisher
{
public:
    using published_done = std::function<void(result<published_change>)>;
    using read_done = std::function<void(result<config_document>)>;

    static constexpr std::size_t kMaxDocumentBytes = 1'000'000; ///< the object API stores values of up to 1 MB
    static constexpr std::chrono::milliseconds kRetryDelay{200};
    static constexpr std::chrono::milliseconds kPublishTimeout{10000};

    explicit config_publisher(object_store &store);
    ~config_publisher();
    config_publisher(const config_publisher &) = delete;
    config_publisher &operator=(const config_publisher &) = delete;

    /// @param done receives error_code::unavailable if nothing was written, and timed_out if the last write may still
    /// have taken effect; the requester then retries the change with the same id.
    void publish(change_request request, published_done done);

    /// Reads the configuration; its generation is 0 if none exists.
    void read(read_done done);

    /// Retries changes that are due and fails those that have timed out.
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
    std::shared_ptr<bool> m_alive; ///< false after destruction; checked by pending callbacks
};

} // namespace foxtaildyke
