Feature: Messages between two boxes share one stream

  Scenario: Concurrent messages each receive their own answer
    Given a box that answers its peers
    When 30 messages of three kinds are sent to it concurrently
    Then each message receives its own answer

  Scenario: The client reconnects to a box that restarts at the same address
    Given a box that answers its peers
    When it has answered and is replaced by another box at the same address
    Then a message is answered within 20 attempts

  Scenario: A message to a silent box times out once, and the next message opens a new connection
    Given a box that accepts connections but never answers
    When two messages to it time out one after the other
    Then both fail as unreachable, and each used a connection of its own
