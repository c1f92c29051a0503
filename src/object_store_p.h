// Port to the platform's object API: versioned objects, conditional writes, listing. Implementations:
// object_store_http.cpp (HTTP) and fakes in the tests.
#pragma once

#include "foxtaildyke/foxtaildyke.h"

#include <functional>
#include <vector>

namespace foxtaildyke
{

/// Version of a stored object; 0 means that the object does not exist.
using object_version = std::uint64_t;

struct stored_object {
    std::string body;
    object_version version = 0;
};

/// Asynchronous access to the object API. Every callback runs exactly once, on the caller's task.
/// @remarks Errors: conflict (the condition failed; nothing was written), not_found, too_large (nothing was written),
/// unavailable (the store refused the call; nothing was written), protocol_violation (invalid response), timed_out and
/// io_failure (a write may or may not have taken effect).
class object_store
{
public:
    using read_done = std::function<void(result<stored_object>)>;
    using write_done = std::function<void(result<object_version>)>;
    using remove_done = std::function<void(result<void>)>;
    using list_done = std::function<void(result<std::vector<std::string>>)>;

    virtual ~object_store() = default;

    virtual void read(const std::string &key, read_done done) = 0;

    /// Writes an object if its version is `expected`; 0 creates the object.
    virtual void write(const std::string &key, std::string body, object_version expected, write_done done) = 0;

    virtual void remove(const std::string &key, object_version expected, remove_done done) = 0;

    /// Lists at most `limit` keys that start with `prefix` and sort after `after`, in order.
    virtual void list(const std::string &prefix, const std::string &after, std::size_t limit, list_done done) = 0;
};

} // namespace foxtaildyke
