// Report of a fatal signal; see fatal_signal_p.h. The handler allocates nothing and takes no lock: the signal may have
// interrupted malloc() or the logger.
#include "fatal_signal_p.h"

#include "gateway_clock_p.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <elf.h>
#include <fcntl.h>
#include <link.h>
#include <poll.h>
#include <span>
#include <sys/syscall.h>
#include <ucontext.h>
#include <unistd.h>

namespace foxtaildyke
{

namespace
{

constexpr std::array kFatalSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

constexpr std::size_t kMaxModules = 64; ///< executable mappings; the gateway has about 30
constexpr std::size_t kMaxNameBytes = 48;
constexpr std::size_t kKeptDecisions = 12;
constexpr std::size_t kMaxDecisionBytes = 96;
constexpr std::size_t kMaxLineBytes = 256;
constexpr std::size_t kMaxStackWords = 4096; ///< of the stack, from its pointer upwards
constexpr std::size_t kMaxReturnAddresses = 64;
constexpr std::size_t kHandlerStackBytes = 64U << 10U; ///< the stack itself may be used up

/// Code of the program or of a library.
struct module_code {
    std::array<char, kMaxNameBytes> name{};
    std::uintptr_t base = 0; ///< difference between addresses in memory and in the file
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
};

struct kept_decision {
    std::array<char, kMaxDecisionBytes> text{};
    std::size_t size = 0;
    instant at{};
};

/// Registers at the time of the signal.
struct machine_state {
    std::uintptr_t programCounter = 0;
    std::uintptr_t link = 0; ///< return address in a register; 0 where there is none
    std::uintptr_t stack = 0;
};

// Set before any handler can run, and not changed afterwards.
std::array<module_code, kMaxModules> s_modules;
std::size_t s_moduleCount = 0;
std::array<char, kHandlerStackBytes> s_handlerStack;

std::array<kept_decision, kKeptDecisions> s_decisions;
std::atomic<std::size_t> s_decisionCount = 0; ///< of all so far

/// Text of a report, written out line by line.
class report_line
{
public:
    report_line &add(std::string_view text)
    {
        const auto size = std::min(text.size(), m_text.size() - m_size);
        std::copy_n(text.begin(), size, m_text.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += size;
        return *this;
    }
    report_line &add(std::uintptr_t number, int base)
    {
        std::array<char, 24> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
        return add(base == 16 ? "0x" : "").add({digits.data(), static_cast<std::size_t>(end - digits.data())});
    }
    /// Writes the line, unless nobody reads standard error: waiting would keep the process from ending.
    void write()
    {
        add("\n");
        pollfd output{STDERR_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) > 0)
            std::ignore = ::write(STDERR_FILENO, m_text.data(), m_size);
        m_size = 0;
    }

private:
    std::array<char, kMaxLineBytes> m_text{};
    std::size_t m_size = 0;
};

std::string_view nameOfSignal(int number)
{
    switch (number) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    case SIGABRT:
        return "SIGABRT";
    default:
        return "signal";
    }
}

machine_state stateOf(const ucontext_t &context)
{
#if defined(__aarch64__)
    constexpr std::size_t kLinkRegister = 30;
    const auto &registers = context.uc_mcontext;
    return {registers.pc, registers.regs[kLinkRegister], registers.sp};
#elif defined(__x86_64__)
    const auto &registers = context.uc_mcontext.gregs;
    return {static_cast<std::uintptr_t>(registers[REG_RIP]), 0, static_cast<std::uintptr_t>(registers[REG_RSP])};
#else
    return {};
#endif
}

const module_code *moduleOf(std::uintptr_t address)
{
    const auto modules = std::span(s_modules).first(s_moduleCount);
    const auto found = std::ranges::find_if(
        modules, [address](const auto &code) { return address >= code.begin && address < code.end; });
    return found == modules.end() ? nullptr : &*found;
}

void writeAddress(std::string_view what, std::uintptr_t address)
{
    report_line line;
    line.add(what);
    if (const auto *code = moduleOf(address))
        line.add(code->name.data()).add("+").add(address - code->base, 16);
    else
        line.add(address, 16);
    line.write();
}

/// Reads memory that may not be mapped: the kernel reports what can't be read, without a signal.
class safe_reader
{
public:
    /// Opens what reading needs, which may not be had any more at the time of the signal.
    void open() { m_isOpen = ::pipe2(m_pipe.data(), O_CLOEXEC | O_NONBLOCK) == 0; }

    /// @returns false if the word can't be read.
    [[nodiscard]] bool read(std::uintptr_t address, std::uintptr_t &word) const
    {
        const auto *source =
            reinterpret_cast<const void *>(address); // NOLINT(performance-no-int-to-ptr): of a register
        return m_isOpen && ::write(m_pipe[1], source, sizeof(word)) == sizeof(word)
            && ::read(m_pipe[0], &word, sizeof(word)) == sizeof(word);
    }

private:
    std::array<int, 2> m_pipe{-1, -1};
    bool m_isOpen = false;
};

safe_reader s_reader; ///< opened before any handler can run

/// Writes the words of the stack that are addresses of code. This needs no frame pointers and no intact frames; some
/// of them are left over from earlier calls.
void writeReturnAddresses(std::uintptr_t stack)
{
    std::uintptr_t word = 0;
    std::size_t written = 0;
    for (std::size_t index = 0; index < kMaxStackWords && written < kMaxReturnAddresses; ++index) {
        if (!s_reader.read(stack + index * sizeof(word), word))
            return;
        if (!moduleOf(word))
            continue;
        writeAddress("  stack ", word);
        ++written;
    }
}

void writeDecisions()
{
    const auto now = suspendAwareNow();
    const auto count = s_decisionCount.load();
    report_line line;
    // The signal may have come while the oldest one was being replaced.
    for (auto number = count - std::min(count, kKeptDecisions - 1); number < count; ++number) {
        const auto &kept = s_decisions[number % kKeptDecisions];
        const auto age = std::max(now - kept.at, instant::zero());
        line.add("  ").add(static_cast<std::uintptr_t>(age.count()), 10).add(" us before: ");
        line.add({kept.text.data(), kept.size}).write();
    }
}

void reportAndEnd(int number, siginfo_t *info, void *context)
{
    // A fault in this handler, or in another thread meanwhile, ends the process at once.
    for (const int fatal : kFatalSignals)
        std::signal(fatal, SIG_DFL);
    const auto state = stateOf(*static_cast<const ucontext_t *>(context));
    report_line line;
    line.add("fatal signal ")
        .add(static_cast<std::uintptr_t>(number), 10)
        .add(" (")
        .add(nameOfSignal(number))
        .add(info->si_code > 0 ? "), address " : "), sent by process ")
        .add(info->si_code > 0 ? reinterpret_cast<std::uintptr_t>(info->si_addr)
                               : static_cast<std::uintptr_t>(info->si_pid),
             info->si_code > 0 ? 16 : 10)
        .add(", thread ")
        .add(static_cast<std::uintptr_t>(::syscall(SYS_gettid)), 10)
        .add(" of process ")
        .add(static_cast<std::uintptr_t>(::getpid()), 10)
        .write();
    writeAddress("  at ", state.programCounter);
    if (state.link != 0)
        writeAddress("  from ", state.link);
    writeDecisions();
    writeReturnAddresses(state.stack);
    // Delivered once this handler returns, also if the signal was sent and would not recur by itself.
    ::raise(number);
}

int addModule(dl_phdr_info *info, std::size_t, void *)
{
    const std::string_view path = info->dlpi_name && *info->dlpi_name ? info->dlpi_name : "program";
    const auto name = path.substr(path.rfind('/') + 1);
    for (const auto &header : std::span(info->dlpi_phdr, info->dlpi_phnum)) {
        if (header.p_type != PT_LOAD || !(header.p_flags & PF_X) || s_moduleCount == s_modules.size())
            continue;
        auto &code = s_modules[s_moduleCount++];
        std::copy_n(name.begin(), std::min(name.size(), code.name.size() - 1), code.name.begin());
        code.base = info->dlpi_addr;
        code.begin = info->dlpi_addr + header.p_vaddr;
        code.end = code.begin + header.p_memsz;
    }
    return 0;
}

/// @returns the descriptor of the first note that is a build id, or an empty span.
std::span<const unsigned char> buildIdIn(std::span<const unsigned char> notes)
{
    constexpr std::size_t kAlignment = 4;
    const auto aligned = [](std::size_t size) {
        return (size + kAlignment - 1) / kAlignment * kAlignment;
    };
    while (notes.size() >= sizeof(ElfW(Nhdr))) {
        ElfW(Nhdr) header{};
        std::memcpy(&header, notes.data(), sizeof(header));
        const auto content = sizeof(header) + aligned(header.n_namesz);
        if (notes.size() < content + aligned(header.n_descsz))
            return {};
        if (header.n_type == NT_GNU_BUILD_ID)
            return notes.subspan(content, header.n_descsz);
        notes = notes.subspan(content + aligned(header.n_descsz));
    }
    return {};
}

int findBuildId(dl_phdr_info *info, std::size_t, void *result)
{
    for (const auto &header : std::span(info->dlpi_phdr, info->dlpi_phnum)) {
        if (header.p_type != PT_NOTE)
            continue;
        const auto address = info->dlpi_addr + header.p_vaddr;
        const auto *begin = reinterpret_cast<const unsigned char *>(address); // NOLINT(performance-no-int-to-ptr)
        const auto id = buildIdIn({begin, header.p_memsz});
        for (const unsigned char byte : id) {
            static constexpr std::string_view kDigits = "0123456789abcdef";
            static_cast<std::string *>(result)->append({kDigits[byte >> 4U], kDigits[byte & 0xfU]});
        }
        if (!id.empty())
            break;
    }
    return 1; // the program itself is the first one
}

} // namespace

void reportFatalSignals()
{
    dl_iterate_phdr(addModule, nullptr);
    s_reader.open();
    stack_t presentStack{};
    if (::sigaltstack(nullptr, &presentStack) == 0 && (presentStack.ss_flags & SS_DISABLE) != 0) {
        stack_t own{};
        own.ss_sp = s_handlerStack.data();
        own.ss_size = s_handlerStack.size();
        std::ignore = ::sigaltstack(&own, nullptr);
    }
    struct sigaction action {
    };
    action.sa_sigaction = reportAndEnd;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    for (const int number : kFatalSignals) {
        struct sigaction present {
        };
        // A sanitizer reports more than this handler could.
        if (::sigaction(number, nullptr, &present) == 0 && present.sa_handler == SIG_DFL)
            ::sigaction(number, &action, nullptr);
    }
}

void keepForFatalReport(std::string_view event, std::string_view subject, instant now)
{
    const auto number = s_decisionCount.load(std::memory_order_relaxed);
    auto &kept = s_decisions[number % kKeptDecisions];
    kept.size = 0;
    for (const auto part : {event, std::string_view(" "), subject}) {
        const auto size = std::min(part.size(), kept.text.size() - kept.size);
        std::copy_n(part.begin(), size, kept.text.begin() + static_cast<std::ptrdiff_t>(kept.size));
        kept.size += size;
    }
    kept.at = now;
    s_decisionCount.store(number + 1, std::memory_order_release);
}

std::string buildId()
{
    std::string id;
    dl_iterate_phdr(findBuildId, &id);
    return id;
}

} // namespace foxtaildyke
