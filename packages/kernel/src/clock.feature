Feature: A limit on an answer is no limit on how soon the box reads it

  Scenario: Answers that came in time count, though the event loop was behind
    Given a server in another process that answers 20 calls after 50 ms
    When calls with a limit of 100 ms are made and a turn of the event loop takes 300 ms
    Then all 20 calls are answered

  Scenario: A timer that was cancelled while it was late does nothing
    When a timer of 10 ms is cancelled in the turn in which it fires 50 ms late
    Then it has not fired
