Feature: A front that stops listening loses no request that has arrived

  # Guards against idle connections that are closed although a request has arrived on them and was not read yet.
  Scenario: Requests that arrived during a long iteration of the event loop are answered
    Given a front that is about to stop listening, with 5 kept connections
    When a request arrives on each of them while the event loop is blocked for 300 ms, and the front stops listening then
    Then each of the 5 requests is answered

  # Guards against responses that look complete although they were cut: these callers are sent neither a length nor chunks.
  Scenario: A caller of HTTP/1.0 sees that its response was cut by the end of the front
    Given a front that has begun a response to a caller of HTTP/1.0
    When the front closes all connections
    Then that caller's connection is reset

  # Guards against connections that are reset since they still wait to be accepted when the front stops listening.
  Scenario: Requests on connections that were not accepted yet are answered
    Given a front that is about to stop listening, with 0 kept connections
    When 40 clients have connected and sent a request each, and the front stops listening then
    Then each of the 40 clients is answered
