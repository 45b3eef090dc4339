Feature: The trainer's client outlives answers that break off

  Scenario Outline: A broken answer to a fetch is asked for again
    Given a rollout server whose first answer breaks off <where>
    When a trainer's client fetches from the rollout server
    Then it gets the group by retrying

    Examples:
      | where                |
      | before the head      |
      | in the head          |
      | in a chunk's length  |
      | in a chunk           |
      | between chunks       |
      | in a body of a known length |
