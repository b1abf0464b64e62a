Feature: What the clients of a server take from its process has a bound

  # Guards against clients that hold all connections, so that others get none.
  Scenario: The connections that do nothing for longest give way
    Given a server with at most 10 connections that answers at once
    When 15 clients connect and send nothing
    Then the server has 10 connections
    And 5 connections were closed because of "too many connections" while "fresh"
    And a further client gets the response 200

  # Guards against silent connections that displace callers who reuse theirs.
  Scenario: Connections between two requests stay open while more of the others send nothing
    Given a server with at most 10 connections that answers at once
    When 3 clients send a request and keep their connections
    And 12 clients connect and send nothing
    Then the 3 kept connections get a response to a further request

  # Guards against connections that are closed although their requests are being served.
  Scenario: A connection whose client waits for a response does not give way
    Given a server with at most 10 connections that answers after 300 ms
    When 10 clients send a request and wait
    And 2 clients connect and send nothing
    Then all 10 clients get the response 200
    And 2 connections were closed because of "too many connections" while "fresh"

  # Guards against bodies that never end and hold all connections.
  Scenario: The connection whose body has been incomplete for longest gives way
    Given a server with at most 10 connections that reads bodies
    When 10 clients send a request whose body is not complete
    And 1 clients connect and send nothing
    Then 1 connections were closed because of "too many connections" while "reading"

  # Guards against requests that are all begun at once since they came in one read.
  Scenario: Requests that are sent ahead are begun one after the other
    Given a server with at most 10 connections that answers after 20 ms
    When a client sends 20 requests at once
    Then the client gets 20 responses in the order of its requests
    And at most 1 request was begun at a time

  Scenario: Requests with bodies that are sent ahead are begun one after the other
    Given a server with at most 10 connections that reads bodies
    When a client sends 20 requests with bodies of 5000 bytes at once
    Then the client gets 20 responses in the order of its requests
    And at most 1 request was begun at a time

  # Guards against requests that run although their client was told that they did not.
  Scenario: A request is not begun on a connection that has been rejected for its late head
    Given a server with at most 10 connections that answers at once
    And the server rejects heads that take longer than 100 ms
    When a client sends a request 400 ms after it has connected
    Then the client has got the response 408 and no request was begun

  # Guards against requests that run although their connection closes with the response to the one before.
  Scenario: A request is not begun on a connection that closes with the response before it
    Given a server with at most 10 connections that answers after 100 ms
    When a client sends requests for "/last" and "/ahead" at once
    Then the client gets one response, to "/last", and its connection is closed
    And 1 request was reported as not begun, and only "/last" was begun

  # Guards against bytes that are read without end though no request needs them.
  Scenario: A client that sends bytes behind a request to switch the protocol is cut off
    Given a server with at most 10 connections that answers at once
    When a client asks for another protocol and sends 4000000 bytes
    Then 1 connections were closed because of "bytes outside of requests" while "idle"

  # Guards against reads of short chunks that hold up the requests of others.
  Scenario: A read whose parsing takes long waits for its turn, and short requests of others do not wait for it
    Given a parser that takes 2 ms for each slice of connection "a" and none for others
    When connection "a" receives 60000 bytes
    Then less than 5 slices of "a" were parsed
    When connection "b" receives 500 bytes
    Then all bytes of "b" were parsed
    And at most 3 slices of "a" are parsed in each turn of the event loop, until all bytes are

  # Guards against connections that are read on while their bytes wait.
  Scenario: A connection is not read on while its bytes wait, whoever resumes it
    Given a parser that takes 2 ms for each slice of connection "a" and none for others
    When connection "a" receives 60000 bytes
    And the server resumes connection "a"
    Then connection "a" is paused
    When all turns have passed
    Then all bytes of "a" were parsed
    And connection "a" is read on

  # Guards against bytes for a server that has paused the connection, which end the process.
  Scenario: Bytes that wait are not parsed while the server has paused their connection
    Given a parser that takes 2 ms for each slice of connection "a" and none for others
    When connection "a" receives 60000 bytes
    And the server pauses connection "a"
    Then nothing more of "a" is parsed until the server resumes it
    When all turns have passed
    Then all bytes of "a" were parsed
    And no parser threw

  # Guards against many connections whose large reads fill a turn of the event loop.
  Scenario: Few large reads are made in one turn of the event loop
    Given a parser that takes 2 ms for each slice of connection "a" and none for others
    When 20 connections receive 65536 bytes each
    Then 12 of these connections are paused
    When all turns have passed
    Then 0 of these connections are paused
