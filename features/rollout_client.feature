Feature: The trainer's client recovers from truncated responses

  Scenario Outline: A fetch whose response is truncated is retried
    Given a rollout server whose first response is truncated <where>
    When a trainer's client fetches from the rollout server
    Then it receives the group by retrying

    Examples:
      | where                |
      | before the head      |
      | in the head          |
      | in a chunk's length  |
      | in a chunk           |
      | between chunks       |
      | in a body of a known length |
