Feature: Permits for rate-limited targets

  Scenario: Permits are spaced at the target's rate
    Given a target limited to 2 requests per second, without permits granted yet
    When 3 requests ask for a permit within 1200 ms
    Then they get permits after "500 1000 none" ms

  Scenario: Retry times of refused requests are spaced at the target's rate
    Given a target limited to 2 requests per second, without permits granted yet
    When 3 requests ask for a permit within 0 ms
    Then the retry times are "500 1000 1500" ms

  Scenario: An unused permit is available at once, but only few are saved
    Given a target limited to 2 requests per second, without permits granted yet
    When 60 s pass at the target
    And 3 requests ask for a permit within 0 ms
    Then they get permits after "0 none none" ms

  Scenario: Later permits remain for requests that can wait longer
    Given a target limited to 2 requests per second, without permits granted yet
    When 4 requests ask for a permit within 1000 ms
    And 1 request asks for a permit within 2000 ms
    Then it gets a permit after "1500" ms

  Scenario: A target with a limit of zero is still tried occasionally
    Given a target limited to 0 requests per second, without permits granted yet
    When 30 s pass at the target
    And 2 requests ask for a permit within 0 ms
    Then they get permits after "0 none" ms

  Scenario: A permit acquired before the box is suspended is not used afterwards
    Given a box that is the permit allocator of a target limited to 2 requests per second
    When the box is suspended for 5 s while a request waits for its permit
    Then the request is denied a permit

  Scenario: Boxes exchange the start and the end of a limit
    Given two boxes without target limits
    When the first box observes a limit of 3 requests per second
    And the boxes exchange limit changes
    Then the second box knows that the target takes 3 a second
    When 500 ms pass and the second box observes the end of the limit
    And the boxes exchange limit changes
    Then the first box knows that the target takes any number

  Scenario: A change older than the recorded one is ignored
    Given two boxes without target limits
    When the first box observes a limit of 3 requests per second
    And 500 ms pass and the second box observes a limit of 1 request per second
    And the boxes exchange limit changes
    Then the first box knows that the target takes 1 a second

  Scenario: A limit announced by another incarnation of the target is ignored
    Given two boxes, the second of which has seen a later incarnation of the target
    When the first box observes a limit of 3 requests per second
    And the boxes exchange limit changes
    Then the second box knows that the target takes any number

  Scenario: A limited target is probed occasionally even if other targets are available
    Given a box that is the permit allocator of a target limited to 2 requests per second
    Then the target is not due for a trial
    When 60 s pass at the box
    Then the target is due for a trial
