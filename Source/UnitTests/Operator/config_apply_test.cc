#include "Core/Operator/config_apply.h"

#include <rapidcheck.h>

#include <deque>
#include <map>

#include "UnitTests/test_support.h"

namespace primrosecove {
namespace {

// In-memory key-value service with injected failures of one client's commits.
class FakeStore : public KvStore {
 public:
  explicit FakeStore(EventLoop* loop) : loop_(loop) {}
  enum class Fault { kNone, kLostResponse, kLostRequest };
  std::deque<Fault> commit_faults;
  std::function<void()> before_commit;
  std::map<std::string, KvEntry>* data = &own_data_;

  void Get(const std::string& key,
           Callback<std::optional<KvEntry>> done) override {
    auto it = data->find(key);
    std::optional<KvEntry> entry;
    if (it != data->end()) entry = it->second;
    loop_->Post([done, entry] { done(entry); });
  }
  void List(const std::string& prefix, int64_t limit, bool descending,
            Callback<std::vector<KvEntry>> done) override {
    std::vector<KvEntry> out;
    for (const auto& [key, entry] : *data) {
      if (key.starts_with(prefix)) out.push_back(entry);
    }
    if (descending) std::reverse(out.begin(), out.end());
    if (limit > 0 && out.size() > static_cast<size_t>(limit)) out.resize(limit);
    loop_->Post([done, out] { done(out); });
  }
  void Commit(const KvTransaction& txn, Callback<KvCommit> done) override {
    if (auto concurrent_commit = std::exchange(before_commit, nullptr))
      concurrent_commit();
    Fault fault = Fault::kNone;
    if (!commit_faults.empty()) {
      fault = commit_faults.front();
      commit_faults.pop_front();
    }
    KvCommit commit;
    if (fault != Fault::kLostRequest) commit.succeeded = ApplyTransaction(txn);
    loop_->Post([done, commit, fault] {
      if (fault == Fault::kNone) return done(commit);
      done(Fail(ErrorCode::kTimeout, "no response"));
    });
  }
  std::unique_ptr<KvWatch> Watch(const std::string&, int64_t,
                                 std::function<void(std::vector<KvEvent>)>,
                                 std::function<void(Error)>) override {
    return nullptr;
  }
  void GrantLease(std::chrono::seconds, Callback<int64_t>) override {}
  void KeepLeaseAlive(int64_t, Callback<void>) override {}
  void RevokeLease(int64_t, Callback<void>) override {}
  uint64_t calls() const override { return 0; }

 private:
  bool ApplyTransaction(const KvTransaction& txn) {
    for (const KvCompare& it : txn.compares) {
      auto found = data->find(it.key);
      if ((found == data->end() ? 0 : found->second.mod_revision) !=
          it.mod_revision)
        return false;
    }
    for (const KvPut& it : txn.puts) {
      int64_t revision = (*data)[it.key].mod_revision + 1;
      (*data)[it.key] = {it.key, it.value, revision};
    }
    return true;
  }
  EventLoop* loop_;
  std::map<std::string, KvEntry> own_data_;
};

Bundle MakeBundle(int replicas) {
  return {
      "deployment: t\nplaces: [{name: p, region: r}]\nservices: [{name: s, "
      "kind: engine}]\n"
      "models:\n  - {name: m, service: s, version: a, replicas: " +
          std::to_string(replicas) + ", versions: [{name: a, manifest: '" +
          std::string(64, '1') + "'}]}\n",
      {}};
}

struct Fixture {
  EventLoop loop;
  FakeStore store{&loop};
  ConfigStore config{&loop, &store, "t", Milliseconds(1)};
};

using Fault = FakeStore::Fault;

}  // namespace

TEST_CASE("Apply creates one revision per changed configuration",
          "[operator]") {
  Fixture fixture;
  CHECK(fixture.config.Read().value().head.revision == 0);
  auto first = fixture.config.Apply({MakeBundle(1), "ann", {}});
  REQUIRE(first);
  CHECK(first.value().head.revision == 1);
  auto second = fixture.config.Apply({MakeBundle(2), "ben", {}});
  CHECK(second.value().head.summary == "model m: replicas 1 -> 2");
  CHECK(fixture.config.Apply({MakeBundle(2), "ben", {}}).value().unchanged);
  CHECK(fixture.config.History(10).value().size() == 2);
  CHECK(fixture.config.ReadRevision(1).value().bundle == MakeBundle(1));
}

TEST_CASE("Apply rejects an invalid configuration", "[operator]") {
  Fixture fixture;
  CHECK(fixture.config.Apply({{"models: 3", {}}, "ann", {}}).error().code ==
        ErrorCode::kInvalidArgument);
  CHECK(fixture.config.Read().value().head.revision == 0);
}

TEST_CASE("Apply succeeds exactly once after lost requests and responses",
          "[operator]") {
  Fixture fixture;
  REQUIRE(fixture.config.Apply({MakeBundle(1), "ann", {}}));
  auto faults = GENERATE(values<std::deque<Fault>>(
      {{Fault::kLostResponse},
       {Fault::kLostRequest},
       {Fault::kLostRequest, Fault::kLostResponse},
       {Fault::kLostResponse, Fault::kLostResponse}}));
  fixture.store.commit_faults = faults;
  auto result = fixture.config.Apply({MakeBundle(2), "ann", {}});
  REQUIRE(result);
  CHECK(result.value().head.revision == 2);
  CHECK(fixture.config.History(10).value().size() == 2);
}

TEST_CASE("Apply reports the other operator's changes after a conflict",
          "[operator]") {
  Fixture fixture;
  REQUIRE(fixture.config.Apply({MakeBundle(1), "ann", {}}));
  FakeStore other_store(&fixture.loop);
  other_store.data = fixture.store.data;
  ConfigStore other(&fixture.loop, &other_store, "t");
  bool response_lost = GENERATE(false, true);
  if (response_lost) fixture.store.commit_faults = {Fault::kLostResponse};
  fixture.store.before_commit = [&] {
    REQUIRE(other.Apply({MakeBundle(7), "ben", {}}));
  };
  auto result = fixture.config.Apply({MakeBundle(2), "ann", {}});
  REQUIRE_FALSE(result);
  CHECK(result.error().code == ErrorCode::kConflict);
  CHECK_THAT(result.error().message,
             Catch::Contains("ben") && Catch::Contains("replicas 1 -> 7"));
  CHECK(fixture.config.Read().value().bundle == MakeBundle(7));
}

TEST_CASE("Apply rejects an edit of an older revision", "[operator]") {
  Fixture fixture;
  REQUIRE(fixture.config.Apply({MakeBundle(1), "ann", {}}));
  REQUIRE(fixture.config.Apply({MakeBundle(2), "ben", {}}));
  auto result = fixture.config.Apply({MakeBundle(3), "ann", 1});
  CHECK(result.error().code == ErrorCode::kConflict);
}

// Guards against a reported outcome that differs from the stored history
// after lost requests, lost responses and a concurrent commit.
TEST_CASE("the result of Apply matches the stored history",
          "[operator][property]") {
  CHECK(rc::check([] {
    Fixture fixture;
    const auto faults = *rc::gen::container<std::vector<Fault>>(
        3, rc::gen::element(Fault::kNone, Fault::kLostResponse,
                            Fault::kLostRequest));
    const bool concurrent_commit = *rc::gen::arbitrary<bool>();
    fixture.store.commit_faults.assign(faults.begin(), faults.end());
    FakeStore other_store(&fixture.loop);
    other_store.data = fixture.store.data;
    ConfigStore other(&fixture.loop, &other_store, "t");
    if (concurrent_commit) {
      fixture.store.before_commit = [&] {
        (void)other.Apply({MakeBundle(7), "ben", {}});
      };
    }
    auto result = fixture.config.Apply({MakeBundle(2), "ann", {}});
    bool is_stored = false;
    const auto history = fixture.config.History(10).value();
    for (const Head& it : history) is_stored |= it.author == "ann";
    RC_ASSERT(result.has_value() == is_stored);
    RC_ASSERT(is_stored == !concurrent_commit);
  }));
}

}  // namespace primrosecove
