Feature: Small messages between boxes share one stream

  Scenario: Many messages at once, each with its own answer
    Given a box that answers its peers
    When 30 messages of three kinds are sent to it at once
    Then each got the answer to itself

  Scenario: A box that comes back at its address is dialled again
    Given a box that answers its peers
    When it has answered, ends, and another starts at its address
    Then the next messages are answered within 20 tries

  Scenario: A box that is silent costs one limit, and the next message dials afresh
    Given a box that takes connections and says nothing
    When a message to it has waited for its limit, twice
    Then each came back as unreachable, and each had a connection of its own
