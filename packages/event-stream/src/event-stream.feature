Feature: An event stream is split into events regardless of chunk boundaries

  Scenario: Chunk boundaries do not affect the events
    Given a stream of 5 events with ids and a comment line
    Then any division into chunks gives the same events without losing bytes

  Scenario Outline: The end of a stream shows whether it is inside an event, <what>
    Given a stream that ends with "<end>" after a complete event
    Then it ends <where> an event

    Examples:
      | what                      | end              | where   |
      | at the end of an event    |                  | outside |
      | in a field                | id: 2\nda        | inside  |
      | before the blank line     | data: 2\n        | inside  |
      | the same with CR LF       | data: 2\r\n      | inside  |
      | in a line end             | data: 2\r        | inside  |
      | in the first character    | d                | inside  |
      | in a comment              | : not            | inside  |
      | after a comment line      | : note\n         | outside |
      | after a comment and field | : note\ndata: 2\n | inside  |
      | after further blank lines | \n\n             | outside |

  Scenario: Streams with CR line ends and a byte order mark are split
    Given a stream of 3 events with "\r" line ends and a byte order mark
    Then any division into chunks gives the same events without losing bytes
    And it ends outside an event

  Scenario: An empty stream ends outside an event
    Given an empty stream
    Then it ends outside an event

  Scenario: An incomplete event is buffered
    Given a stream of 2 events with ids and a comment line
    When its last 3 bytes are missing
    Then 1 event is returned and the remaining bytes are buffered

  # Line ends of one kind must not make the splitter search all that follows for the other kind, once a line.
  Scenario: An event of many lines costs no more with LF line ends than with CR LF
    Then an event of 20000 lines with LF line ends is split in at most 5 times the processor time of one with CR LF

  # Guards against time that grows with the square of an event's size, which blocked a box for over 10 s.
  Scenario Outline: An event in short chunks costs the same for each byte however large it is, <what>
    Then an event of 160000 bytes in chunks of "<chunk>" takes at most 24 times the processor time of one of 20000

    Examples:
      | what             | chunk         |
      | short lines      | data: token\n |
      | no line end      | a             |
      | comment lines    | :\n           |

  # Guards against work for each blank line that a target sends without end.
  Scenario: Events without ids that follow each other are returned together
    Given a read of 30000 blank lines between an event with the id "1" and one with the id "2"
    Then 3 parts are returned, of which the first and the last have these ids
