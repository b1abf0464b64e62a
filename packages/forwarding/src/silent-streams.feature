Feature: Streams whose target falls silent

  # Guards against a begun answer that is cut for a pause although nobody else can continue it.
  Scenario Outline: A stream that pauses beyond the idle timeout is only abandoned if another target can take it up
    Given a stream that pauses for 2000 ms after its first event, with an idle timeout of 1000 ms
    When another target <can> take it up
    Then the attempt ends as "<end>" after <ms> ms

    Examples:
      | can    | end      | ms   |
      | can    | silent   | 1010 |
      | cannot | streamed | 2010 |
