// A lazily started coroutine that one owner holds. Destroying the Task cancels what it waits for.
#pragma once

#include <coroutine>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

namespace beechhill::runtime {

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::function<void()> on_end;  // set for tasks that the scheduler owns
  std::exception_ptr error;

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
  std::coroutine_handle<Promise> get_return_object() {
    return std::coroutine_handle<Promise>::from_promise(*this);
  }
  void return_value(T v) { value = std::move(v); }
  T take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  std::coroutine_handle<Promise> get_return_object() {
    return std::coroutine_handle<Promise>::from_promise(*this);
  }
  void return_void() {}
  void take() {}
};

}  // namespace detail

template <typename T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  Task(Handle handle) : handle_(handle) {}
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
    return handle_.promise().take();
  }

 private:
  Handle handle_;
};

}  // namespace beechhill::runtime
