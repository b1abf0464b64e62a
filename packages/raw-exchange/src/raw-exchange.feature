Feature: An exchange with a target tells a whole answer from one that was cut

  Scenario: An answer without a length that ends with its connection is whole
    Given a target that answers without a length and closes its connection
    When a request is sent there
    Then the answer is whole with 4 bytes

  Scenario: An answer without a length that ends by a reset is not whole
    Given a target that answers without a length and resets its connection at once
    When a request is sent there
    Then the exchange fails and the request may have arrived

  Scenario: An answer shorter than its length is not whole
    Given a target that answers less than its length and closes its connection
    When a request is sent there
    Then the exchange fails and the request may have arrived

  Scenario: A request to a port where nobody listens has not arrived
    Given a port where nobody listens
    When a request is sent there
    Then the exchange fails and the request has not arrived

  Scenario: A target that ended refuses connections, and one whose connection was lost does not
    Given a target that answers without a length and resets its connection at once
    When a request is sent there
    Then the address listens
    When the target ends
    Then the address refuses

  Scenario: The second answer on a connection belongs to nobody
    Given a target that answers twice on one connection
    When a request is sent there
    Then the answer is whole with 2 bytes

  Scenario: A request that is given up takes back what its target has not been sent
    A caller left, and its request reached a target afterwards all the same. A close goes out behind the bytes that the system
    still holds for a slow link or a target that is slow to read, and overtakes none of them; a reset drops them. Of a request
    of 16 MB that was given up after 300 ms 3.9 MB came to a target that read later; after a reset 0.13 MB.

    Given a target that reads nothing until it is told to
    When a request of 16 MB is sent there and given up on its way
    And the target reads what has come
    Then the target sees that the connection was reset
