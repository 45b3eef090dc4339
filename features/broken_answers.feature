Feature: Answers of replicas that break off, or are none

  # An error's text, another head or a repeated event in a caller's stream looks like a
  # part of it, and a short body that is framed as whole looks complete.
  Scenario Outline: Only the events that are missing continue a stream that broke off
    Given a stream of 6 events that breaks off after 3, sent <way>
    When the next replica answers <answer>, and the one after it goes on
    Then the caller gets the 6 events, each once, and the end of the stream

    Examples:
      | way                       | answer                                     |
      | directly                  | 500 with a text                            |
      | directly                  | 500 with a text that ends in blank lines   |
      | directly                  | 500 without a body                         |
      | directly                  | 404 with a text                            |
      | directly                  | 200 without a seal                         |
      | directly                  | 200 with a text in place of events         |
      | directly                  | 200 with an error's head in place of events |
      | directly                  | event 4 and an error's head                |
      | directly                  | the events from 1 on                       |
      | directly                  | the events from 5 on                       |
      | directly                  | 200 without a length or an event           |
      | directly                  | a head that stops                          |
      | by way of another daemon  | 500 with a text                            |
      | by way of another daemon  | 500 with a text that ends in blank lines   |
      | by way of another daemon  | 500 without a body                         |
      | by way of another daemon  | 200 without a seal                         |
      | by way of another daemon  | event 4 and an error's head                |
      | by way of another daemon  | the events from 1 on                       |
      | by way of another daemon  | a head that stops                          |

  Scenario Outline: A stream that no replica goes on with ends as a broken one
    Given a stream of 6 events that breaks off after 3, sent <way>
    When all other replicas answer <answer>
    Then the caller gets events 1 to 3, and its stream breaks off within 1500 ms

    Examples:
      | way                       | answer                                     |
      | directly                  | 500 with a text                            |
      | directly                  | 500 with a text that ends in blank lines   |
      | directly                  | 500 without a body                         |
      | by way of another daemon  | 500 with a text                            |
      | by way of another daemon  | 500 with a text that ends in blank lines   |
      | by way of another daemon  | 500 without a body                         |

  Scenario Outline: A stream's first answer that is an error reaches the caller as such
    Given a stream whose first replica answers <answer>, sent <way>
    Then the caller gets status 500 with the whole text

    Examples:
      | way                       | answer                                     |
      | directly                  | 500 with a text                            |
      | by way of another daemon  | 500 with a text                            |

  Scenario Outline: A stream without a length or an event is no whole one
    When a replica's answer with no length stops after its head
    Then no <exchange> is taken for a whole one

    Examples:
      | exchange   |
      | stream     |
      | item's run |

  Scenario Outline: A head that stops anywhere is no answer
    When a replica's answer with <framing> stops at each place of its head, <end>
    Then no <exchange> is taken for a whole one

    Examples:
      | exchange                          | framing                    | end    |
      | plain call                        | a length                   | closed |
      | plain call                        | a length                   | reset  |
      | plain call                        | chunks                     | closed |
      | plain call                        | no length                  | closed |
      | plain call                        | an empty body              | closed |
      | stream                            | chunks                     | closed |
      | stream                            | no length                  | closed |
      | item's run                        | chunks                     | closed |
      | item's run                        | no length                  | closed |
      | request of the brief's interface  | a length                   | closed |
      | request of the brief's interface  | a length                   | reset  |
      | request of the brief's interface  | chunks                     | closed |
      | request of the brief's interface  | an empty body              | closed |
      | call to the platform's object API | a length                   | closed |
      | call to the platform's object API | chunks                     | closed |
      | call to the platform's object API | an empty body              | closed |
