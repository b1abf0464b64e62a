Feature: Places at targets, granted by the dispatcher of their service

  Background:
    Given 3 boxes, of which "A" dispatches and "B" is next

  # Guards against a box that sends messages to itself, and against grants that never reach other boxes.
  Scenario: The dispatcher grants to itself without a message, and to others with one
    When "A" and "C" each ask for a place
    Then both have a place at once
    And "A" has sent 0 messages, and "C" 1

  # Guards against one message for each end.
  Scenario: Ends are sent together, and with the next ask
    When "C" gets 10 places and ends them
    Then "C" has sent 11 messages after 20 ms
    And "A" has 0 places in use

  # Guards against waiting requests that are polled too often, or lost between two polls.
  Scenario: A waiting request has its place as soon as one is free
    Given all places are in use
    When "C" asks for a place, and one becomes free after 150 ms
    Then "C" gets it after 150 ms, with 4 messages

  # Guards against messages for each waiting request in each interval.
  Scenario: All waiting requests of a box share a poll
    Given all places are in use
    When "C" asks for 40 places and waits for 300 ms
    Then "C" has sent 45 messages

  # Guards against one late reply for which a dispatcher is taken for lost that has replied to others meanwhile.
  Scenario: A dispatcher that replies to later messages is not lost
    Given the next message to "A" takes 180 ms
    When "C" asks for a place every 10 ms for 0.5 s
    Then at most 0 requests were "unavailable"

  # Guards against a place that stays in use after its caller has left.
  Scenario: A caller that leaves withdraws its request at once
    Given all places are in use
    When "C" asks for a place, and its caller leaves after 30 ms
    Then no request waits at "A" after 35 ms

  # Guards against requests that are held past their deadline, by a dispatcher or without one.
  Scenario: A request stops waiting at its deadline
    Given all places are in use
    And the links to "A" lose every message
    When "C" asks for a place with 40 ms left
    Then the request of "C" ends after 40 ms as "left"

  # Guards against requests that wait for a lost dispatcher one after the other.
  Scenario Outline: A lost dispatcher delays requests once, then the next one grants
    Given the links to "A" <fault>
    When "C" asks for a place every 10 ms for 1 s
    Then the first one is "unavailable" after at most <ms> ms
    And none of the later ones waits longer than that
    And the ones after 200 ms are granted by "B"

    Examples:
      | fault              | ms  |
      | lose every message | 120 |
      | refuse connections | 5   |

  # Guards against a request that pays for each check whether a lost dispatcher is back.
  Scenario: A dispatcher that is back is asked again without a request that waits for it
    Given the links to "A" lose every message
    When "C" asks for a place every 10 ms for 3 s
    Then at most 12 requests were "unavailable"
    When the links to "A" work again
    And "C" asks for a place every 10 ms for 2 s
    Then no request was "unavailable", and the last one was granted by "A"

  # Guards against places that are in use for ever because their grant came too late.
  Scenario: A place that was granted after its request had left is given back
    Given the links to "A" take 150 ms
    When "C" asks for a place every 10 ms for 0.1 s
    Then "A" has 0 places in use after 500 ms

  # Guards against a box that grants while all others have selected another dispatcher.
  Scenario: A dispatcher that stops declines at once, and the next one grants
    Given all places are in use
    When "C" asks for a place, and "A" stops after 30 ms
    Then the request of "C" is granted by "B" after at most 40 ms

  # Guards against two dispatchers of a partitioned deployment.
  Scenario: A box that is cut off from the others chooses alone, and grants nothing
    Given "A" is cut off from the majority
    When "A" and "C" each ask for a place
    Then "A" chooses alone, and "C" has a place from "B"

  # Guards against two dispatchers, as one that was cut off while its own requests waited grants them places later.
  Scenario: A box that is cut off while its requests wait at itself grants them nothing
    Given all places are in use
    When "A" waits for a place
    And "A" is cut off from the majority after 30 ms
    And a place becomes free at "A" after 10 ms
    Then the request of "A" has ended as "unavailable"
    And "A" has 0 places in use

  # Guards against callers that wait until their deadline for places that others grant.
  Scenario: Requests that wait at a box that is cut off choose alone without a free place
    Given all places are in use
    When "A" waits for a place
    And "A" is cut off from the majority after 30 ms
    And further 70 ms pass
    Then the request of "A" has ended as "unavailable"
    And no request waits at "A" after 100 ms

  # Guards against two dispatchers, as one that was cut off while requests of other boxes waited grants them places later.
  Scenario: A box that is cut off while requests of others wait at it grants them nothing, and the next one does
    Given all places are in use
    When "C" waits for a place
    And "A" is cut off from the majority after 30 ms
    And a place becomes free at "A" after 10 ms
    Then the request of "C" has ended as "B"
    And "A" has 0 places in use

  # Guards against a dispatcher that was not cut off when its own request was sent to another one.
  Scenario: A box that is cut off while its request waits at another one grants nothing itself
    Given all places are in use
    When "B" waits for a place
    And "B" is cut off from the majority after 30 ms
    And "A" stops after 10 ms
    Then the request of "B" has ended as "unavailable"
    And "B" has 0 places in use

  # Guards against a new dispatcher that overloads targets with the grants of the lost one still running.
  Scenario: A new dispatcher counts the loads that heartbeats have told it of
    Given heartbeats tell that 2 of 2 places are in use
    And the links to "A" refuse connections
    When "C" asks for a place every 10 ms for 0.1 s
    Then none of them got a place from "B"

  # Guards against places that are lost with the box that had them.
  Scenario: The places of a box that is gone are free again
    Given "C" has all places and is gone
    When "B" asks for a place every 100 ms for 4 s
    Then the last request of "B" has a place

  # Guards against a dispatcher of the previous build, which has no reply to an ask.
  Scenario: A box that has no answer to an ask is not asked again for a while
    Given "A" is of a build that does not know asks
    When "C" asks for a place every 10 ms for 0.5 s
    Then at most 1 request was "unavailable"

  # Guards against a box that chooses alone, or takes over, without what the lost dispatcher has learned of targets.
  Scenario: Boxes receive what the dispatcher has learned of targets
    Given "A" has learned 3 changes of capacities
    When "C" asks for a place every 100 ms for 1 s
    Then "C" has received 3 changes from "A"
