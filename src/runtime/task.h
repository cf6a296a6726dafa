// Task, the coroutine type that the event loop runs.
#pragma once

#include <coroutine>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

namespace beechhill::runtime {

template <typename T>
class Task;

namespace detail {

struct PromiseBase {
  /// The coroutine that awaits this one; null in a spawned task.
  std::coroutine_handle<> continuation;
  /// Called when the coroutine ends. The scheduler sets it in spawned tasks.
  std::function<void()> on_end;
  /// The exception that ended the coroutine, if any.
  std::exception_ptr error;

  /// Resumes the awaiting coroutine by symmetric transfer.
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <typename Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> handle) noexcept {
      if (handle.promise().on_end) {
        handle.promise().on_end();
      }
      const auto next = handle.promise().continuation;
      return next ? next : std::noop_coroutine();
    }
    void await_resume() noexcept {}
  };

  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

template <typename T>
struct Promise : PromiseBase {
  std::optional<T> value;

  Task<T> get_return_object();
  void return_value(T result) { value = std::move(result); }
  /// Must be called only after the coroutine has ended without an exception.
  // NOLINTNEXTLINE(bugprone-unchecked-optional-access): return_value() has set the value.
  T take_result() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void take_result() {}
};

}  // namespace detail

/// A lazily started coroutine with a result of type T: it starts when it is awaited or spawned. The
/// Task owns the coroutine frame, and its destruction cancels whatever the coroutine waits for. An
/// exception that ends the coroutine is rethrown by co_await or, in a spawned task, by
/// Scheduler::run(). A Task may be awaited only once.
template <typename T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) {
      handle_.destroy();
    }
  }

  Handle handle() const { return handle_; }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
    handle_.promise().continuation = caller;
    return handle_;
  }
  T await_resume() {
    if (handle_.promise().error) {
      std::rethrow_exception(handle_.promise().error);
    }
    return handle_.promise().take_result();
  }

 private:
  Handle handle_;
};

namespace detail {

template <typename T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise>::from_promise(*this));
}

inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise>::from_promise(*this));
}

}  // namespace detail

}  // namespace beechhill::runtime
