Feature: The plan brings in what is missed most and drops what is missed least

  Background:
    Given models "a b c d e f" of 70 GB and engines of 220 GB

  Scenario: A model that requests wait for comes from the engine that has it at hand
    Given engine "1" holds "a b c"
    And engine "2" holds "a b d" with "e" on disk
    When 1 request waits for "e"
    Then engine "2" swaps in "e" from disk for one model

  Scenario: The last copy of a model that requests wait for is never a victim
    Given engine "1" holds "a b c"
    When 1 request waits for "e"
    And 1 request waits for "a"
    And 1 request waits for "b"
    Then engine "1" swaps in "e" from store for "c"

  Scenario: A model that can be brought back within its objective goes before one that cannot
    Given engine "1" holds "a b c"
    When "a" was asked for 8000 ms ago, to begin within 400 ms
    And "b" was asked for 2000 ms ago, to begin within 5000 ms
    And "c" was asked for 8000 ms ago, to begin within 400 ms
    And 1 request waits for "e"
    Then engine "1" swaps in "e" from store for "b"

  Scenario: A busy model gets a further replica on the engine with the least to do
    Given engine "1" holds "a b c" and has 40 requests at work
    And engine "2" holds "d e f" and has 0 requests at work
    And engine "3" holds "d e f" and has 30 requests at work
    When 30 requests are at work on "a"
    Then engine "2" swaps in "a" from store for one model

  Scenario: A model with few requests gets no further replica
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    When 3 requests are at work on "a"
    Then nothing is planned

  Scenario: Loads from the store are kept for requests that wait
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    And the weight store permits 2 more loads
    When 30 requests are at work on "a"
    Then nothing is planned

  Scenario: Nothing is loaded beyond what the weight store permits
    Given engine "1" holds "a b c"
    And the weight store permits 0 more loads
    When 1 request waits for "e"
    Then nothing is planned

  Scenario: Before demand is known, every model comes in before any has a further copy
    Given engine "1" holds "a b d"
    And engine "2" holds "a b e"
    And engine "3" holds "a b c"
    Then "f" takes the place of one of "a b"

  Scenario: Before demand is known, single copies stand
    Given engine "1" holds "a b c" with "d" on disk
    And engine "2" holds "e f a"
    Then "d" takes the place of one of "a"

  Scenario: What is at hand nowhere waits while something presses
    Given engine "1" holds "a b c" with "d" on disk
    And engine "2" holds "a b e"
    When 1 request waits for "d"
    Then engine "1" swaps in "d" from disk for one model
    And engine "2" is left as it is

  Scenario: An engine at work on a move is left alone
    Given engine "1" holds "a b c" and is free in 500 ms
    When 1 request waits for "e"
    Then nothing is planned

  Scenario: No plan for any demand overfills an engine or drops the last copy of what is in use
    Then for random engines and demands every plan keeps the engines' memory and the models in use

  Scenario: An adapter goes where its model and a place are
    Given engine "1" holds "a b c"
    And engine "2" holds "d e f"
    When 2 requests wait for adapter "d/x"
    Then adapter "d/x" is loaded on engine "2"

  Scenario: With no place free an adapter that nobody waits for makes way
    Given engine "1" holds "a b c" and adapters "a/1 a/2 b/3 b/4"
    When 1 request waits for adapter "a/5"
    Then an idle adapter is unloaded on engine "1"

  Scenario: A model whose callers cannot wait for a load is brought back before they ask again
    Given engine "1" holds "a b c" with "e" on disk
    When "e" was asked for 4000 ms ago, to begin within 400 ms
    And "a" was asked for 1000 ms ago, to begin within 400 ms
    And "b" was asked for 3000 ms ago, to begin within 5000 ms
    And "c" was asked for 1000 ms ago, to begin within 400 ms
    Then engine "1" swaps in "e" from disk for "b"

  Scenario: A model whose callers can wait for a load is left where it is
    Given engine "1" holds "a b c" with "d e f" on disk
    When "e" was asked for 4000 ms ago, to begin within 5000 ms
    And "b" was asked for 3000 ms ago, to begin within 5000 ms
    Then nothing is planned

  Scenario: Loads that come too late for their callers leave most engines free for others
    Given engine "1" holds "a b c" and loads from the store for 4000 ms
    And engine "2" holds "a b c"
    And engine "3" holds "a b d"
    When 1 request waits for "e", to begin within 3000 ms
    Then nothing is planned
    When 1 request waits for "f", to begin within 400 ms
    Then "f" is planned and "e" is not

  Scenario: As traffic begins, copies that were placed for it stand
    Given engine "1" holds "a b c"
    And engine "2" holds "a b d"
    And demand was watched for 10000 ms
    When "c" was asked for 0 ms ago, to begin within 400 ms
    Then nothing is planned

  Scenario: While a slow load is on its way, an engine with the weights at hand brings them sooner
    Given engine "1" holds "a b" and loads "e" from the store for 3500 ms
    And engine "2" holds "a b c" with "e" on disk
    When 4 requests wait for "e"
    Then engine "2" swaps in "e" from disk for one model

  Scenario: While a load is about to end, no other is begun for those who wait
    Given engine "1" holds "a b" and loads "e" from the store for 700 ms
    And engine "2" holds "a b c" with "e" on disk
    When 4 requests wait for "e"
    Then nothing is planned

  Scenario: A model whose callers are refused comes before one whose few callers wait
    Given engine "1" holds "a b c" with "e f" on disk
    When 12 requests a second for "e" are refused
    And 2 requests wait for "f"
    Then "e" is planned and "f" is not

  Scenario: A model whose only engine takes less than is asked for gets another copy
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "d e f"
    When "a" is asked for 5 times a second
    Then engine "2" swaps in "a" from store for one model

  Scenario: A model whose only engine takes what is asked for gets no other copy
    Given engine "1" holds "a b c" and takes 2 requests a second
    And engine "2" holds "d e f"
    When "a" is asked for 1.2 times a second
    Then nothing is planned

  Scenario: An engine that takes only so much is no place for a load where there is another
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "d a b" and has 30 requests at work
    When 1 request waits for "e"
    Then engine "2" swaps in "e" from store for one model

  Scenario: The copy beside one on an engine that takes only so much is not let go of
    Given engine "1" holds "a b c" and takes 1 request a second
    And engine "2" holds "a d f"
    When "a" is asked for 5 times a second
    And "d" was asked for 3000 ms ago, to begin within 500 ms
    And "f" was asked for 2000 ms ago, to begin within 500 ms
    And 1 request waits for "e"
    Then engine "2" swaps in "e" from store for "d"
