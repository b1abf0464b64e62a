Feature: Loading the models in highest demand and evicting those in lowest demand

  Background:
    Given models "a b c d e f" of 70 GB and engines of 220 GB

  Scenario: A model with waiting requests is loaded on the engine that has it cached
    Given engine "1" holds "a b c"
    And engine "2" holds "a b d" with "e" on disk
    When 1 request waits for "e"
    Then engine "2" swaps in "e" from disk for one model

  # Guards against streams that can't go on, since their model is loaded at another software version.
  Scenario: A model that requests wait for at one software version is loaded on an engine of that version
    Given engine "1" of version "v1" holds "a b c"
    And engine "2" of version "v2" holds "d e f"
    When at version "v1", 1 request waits for "d"
    Then engine "1" swaps in "d" from store for one model

  Scenario: A model that an engine of the version holds is not loaded again for requests that wait there
    Given engine "1" of version "v1" holds "a b c"
    And engine "2" of version "v1" holds "d e f"
    When at version "v1", 1 request waits for "d"
    Then no move is planned

  Scenario: A model that no engine of the version can hold is not loaded elsewhere
    Given engine "1" of version "v2" holds "a b c"
    When at version "v1", 1 request waits for "a"
    Then no move is planned

  Scenario: An adapter that requests wait for at one software version is loaded on an engine of that version
    Given engine "1" of version "v1" holds "a b c"
    And engine "2" of version "v2" holds "a b c" and adapters "a/x"
    When at version "v1", 1 request waits for adapter "a/x"
    Then adapter "a/x" is loaded on engine "1"

  Scenario: The last replica of a model with waiting requests is never evicted
    Given engine "1" holds "a b c"
    When 1 request waits for "e"
    And 1 request waits for "a"
    And 1 request waits for "b"
    Then engine "1" swaps in "e" from store for "c"

  Scenario: A model that can be reloaded within its latency objective is evicted before one that cannot
    Given engine "1" holds "a b c"
    When "a" was last requested 8000 ms ago with a latency objective of 400 ms
    And "b" was last requested 2000 ms ago with a latency objective of 5000 ms
    And "c" was last requested 8000 ms ago with a latency objective of 400 ms
    And 1 request waits for "e"
    Then engine "1" swaps in "e" from store for "b"

  Scenario: An overloaded model gets another replica on the least loaded engine
    Given engine "1" holds "a b c" and has 40 running requests
    And engine "2" holds "d e f" and has 0 running requests
    And engine "3" holds "d e f" and has 30 running requests
    When 30 requests are running on "a"
    Then engine "2" swaps in "a" from store for one model

  Scenario: A model with few requests gets no additional replica
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    When 3 requests are running on "a"
    Then no move is planned

  Scenario: Some store loads are reserved for models with waiting requests
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    And the weight store allows 2 more loads
    When 30 requests are running on "a"
    Then no move is planned

  Scenario: The rate limit of the weight store is respected
    Given engine "1" holds "a b c"
    And the weight store allows 0 more loads
    When 1 request waits for "e"
    Then no move is planned

  Scenario: Without observed demand, a missing model replaces an additional replica
    Given engine "1" holds "a b d"
    And engine "2" holds "a b e"
    And engine "3" holds "a b c"
    Then "f" replaces one of "a b"

  Scenario: Without observed demand, the only replica of a model is kept
    Given engine "1" holds "a b c" with "d" on disk
    And engine "2" holds "e f a"
    Then "d" replaces one of "a"

  Scenario: Loads of uncached models are postponed while requests wait for others
    Given engine "1" holds "a b c" with "d" on disk
    And engine "2" holds "a b e"
    When 1 request waits for "d"
    Then engine "1" swaps in "d" from disk for one model
    And no move is planned on engine "2"

  Scenario: No move is planned on an engine with a move in progress
    Given engine "1" holds "a b c" and is busy for 500 ms
    When 1 request waits for "e"
    Then no move is planned

  Scenario: No plan exceeds an engine's memory or evicts the last replica of a model in use
    Then for random engines and demand no plan exceeds an engine's memory or evicts a model in use

  Scenario: An adapter is loaded on an engine that holds its model and has a free slot
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    When 2 requests wait for adapter "d/x"
    Then adapter "d/x" is loaded on engine "2"

  Scenario: An idle adapter is unloaded if no slot is free
    Given engine "1" holds "a b c" and adapters "a/1 a/2 b/3 b/4"
    When 1 request waits for adapter "a/5"
    Then an idle adapter is unloaded on engine "1"

  Scenario: A model whose callers cannot wait for a load is reloaded ahead of the next request
    Given engine "1" holds "a b c" with "e" on disk
    When "e" was last requested 4000 ms ago with a latency objective of 400 ms
    And "a" was last requested 1000 ms ago with a latency objective of 400 ms
    And "b" was last requested 3000 ms ago with a latency objective of 5000 ms
    And "c" was last requested 1000 ms ago with a latency objective of 400 ms
    Then engine "1" swaps in "e" from disk for "b"

  Scenario: A model whose callers can wait for a load is not reloaded in advance
    Given engine "1" holds "a b c" with "d e f" on disk
    When "e" was last requested 4000 ms ago with a latency objective of 5000 ms
    And "b" was last requested 3000 ms ago with a latency objective of 5000 ms
    Then no move is planned

  Scenario: Loads that finish too late for their callers occupy only a fraction of the engines
    Given engine "1" holds "a b c" and finishes a load from the store in 4000 ms
    And engine "2" holds "a b c"
    And engine "3" holds "a b d"
    When 1 request waits for "e" with a latency objective of 3000 ms
    Then no move is planned
    When 1 request waits for "f" with a latency objective of 400 ms
    Then a load of "f" is planned and none of "e"

  # Guards against a model without a replica that is never loaded while other models are loaded one after another.
  Scenario: Store loads for callers that cannot wait do not displace loads that finish late for theirs
    Given engine "1" holds "a b" and finishes loading "f" from the store in 4000 ms
    And engine "2" holds "a b c"
    And engine "3" holds "a b d"
    When 4 requests wait for "f" with a latency objective of 400 ms
    And 1 request waits for "e" with a latency objective of 3000 ms
    Then a load of "e" is planned and none of "f"

  Scenario: Replicas loaded in advance are kept when traffic starts
    Given engine "1" holds "a b c"
    And engine "2" holds "a b d"
    And demand has been observed for 10000 ms
    When "c" was last requested 0 ms ago with a latency objective of 400 ms
    Then no move is planned

  Scenario: A second load is planned if it finishes well before a slow load in progress
    Given engine "1" holds "a b" and finishes loading "e" from the store in 3500 ms
    And engine "2" holds "a b c" with "e" on disk
    When 4 requests wait for "e"
    Then engine "2" swaps in "e" from disk for one model

  Scenario: No second load is planned if the first is about to finish
    Given engine "1" holds "a b" and finishes loading "e" from the store in 700 ms
    And engine "2" holds "a b c" with "e" on disk
    When 4 requests wait for "e"
    Then no move is planned

  Scenario: A model with many refused requests takes precedence over one with few waiting requests
    Given engine "1" holds "a b c" with "e f" on disk
    When 12 requests per second for "e" are refused
    And 2 requests wait for "f"
    Then a load of "e" is planned and none of "f"

  # Guards against a model that is refused for seconds because other models occupy its only engine.
  Scenario: A model whose requests are refused at a busy engine gets another replica
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f" with "a" on disk
    When "a" runs 1 requests, and 10 per second are refused because its engine is busy
    And "d" was last requested 4000 ms ago with a latency objective of 3000 ms
    Then engine "2" swaps in "a" from disk for one model

  # Guards against a model that becomes hot within seconds and waits for one load from the store after the other.
  Scenario: A model with many refused requests gets several replicas at a time
    Given engine "1" holds "a b c"
    And engine "2" holds "b c d" and finishes loading "a" from the store in 3000 ms
    And engine "3" holds "b c e" and finishes loading "a" from the store in 3000 ms
    And engine "4" holds "b c f"
    When "a" runs 2 requests, and 30 per second are refused because its engine is busy
    Then engine "4" swaps in "a" from store for one model

  Scenario: A single refused request gets its model no other replica
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f" with "a" on disk
    When "a" runs 1 requests, and 0 per second are refused because its engine is busy
    Then no move is planned

  Scenario: A model whose demand exceeds the rate limit of its only engine gets another replica
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "d e f"
    When "a" receives 5 requests per second
    Then engine "2" swaps in "a" from store for one model

  Scenario: A model whose demand is within the rate limit of its only engine gets no other replica
    Given engine "1" holds "a b c" and takes 2 requests a second
    And engine "2" holds "d e f"
    When "a" receives 1.2 requests per second
    Then no move is planned

  Scenario: A load goes to a rate-limited engine only if there is no other
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "d a b" and has 30 running requests
    When 1 request waits for "e"
    Then engine "2" swaps in "e" from store for one model

  Scenario: A replica is not evicted if the only other one is on a rate-limited engine
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "a d f"
    When "a" receives 5 requests per second
    And "d" was last requested 3000 ms ago with a latency objective of 500 ms
    And "f" was last requested 2000 ms ago with a latency objective of 500 ms
    And 1 request waits for "e"
    Then engine "2" swaps in "e" from store for "d"
