Feature: An answer is taken from a whole head only

  # Guards against an answer that is taken from a part of its head: it would be passed on with an empty or a short body.
  Scenario Outline: An answer that ends inside its head is none, <head>, <end>
    Given a target that ends its connection after each number of bytes of "<head>", <end>
    When requests are sent there until the head is whole
    Then each exchange fails without a head

    Examples:
      | head                     | end              |
      | with a length            | in order         |
      | with a length            | by a reset       |
      | with a length            | in order, later  |
      | chunked                  | in order         |
      | chunked                  | by a reset       |
      | up to its end            | in order         |
      | up to its end            | in order, later  |
      | informational, then 200  | in order         |
      | informational, then 200  | by a reset       |
      | HTTP/1.0                 | in order         |
      | without content          | in order         |

  # Guards against header sections that Node's parser reads in spite of a fault, so that their body is framed by a part of them.
  Scenario Outline: An answer with <fault> is none, <reads>
    Given a target that answers with <fault>, <reads>
    When a request is sent to it
    Then the exchange fails without a head

    Examples:
      | fault                                       | reads            |
      | a lone CR before its length                 | in one read      |
      | a lone CR before its length                 | byte by byte     |
      | a lone CR before its body                   | in one read      |
      | a lone CR before its body                   | byte by byte     |
      | a lone CR in an informational head          | in one read      |
      | a lone CR after an informational head       | in one read      |
      | a lone CR in a header line                  | in one read      |
      | line feeds only                             | in one read      |
      | a length that goes on in the next line      | in one read      |
      | a value that goes on in the next line       | in one read      |
      | a name without a value                      | in one read      |
      | an empty length                             | in one read      |
      | two lengths                                 | in one read      |
      | a length and chunks                         | in one read      |
      | no head                                     | in one read      |
      | a part of the transfer coding               | in one read      |
      | an empty transfer coding                    | in one read      |
      | a transfer coding that nobody asked for     | in one read      |
      | chunks within another transfer coding       | in one read      |

  # Guards against checks of the head that take a part of the body for it.
  Scenario Outline: An answer with <bytes> is whole, <reads>
    Given a target that answers with <bytes>, <reads>
    When a request is sent to it
    Then the exchange is complete with the body "<body>"

    Examples:
      | bytes                                  | reads        | body   |
      | a lone CR in its body                  | in one read  | a<LF><CR>b |
      | a lone CR in its body                  | byte by byte | a<LF><CR>b |
      | a lone CR in the body behind hints     | in one read  | a<LF><CR>b |
      | an empty line that ends in LF only     | in one read  | <CR>b    |
      | empty lines before its head            | in one read  | a<LF><CR>b |
      | another answer behind it, cut inside   | in one read  | ok     |
