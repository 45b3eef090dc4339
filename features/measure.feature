Feature: The measurements compute their figures from records and logs

  Scenario Outline: Ideal time of a measured step
    Given a measured step of "<lengths>" tokens
    Then its ideal time at <capacity> tokens per second is <ideal> s

    Examples:
      | lengths         | capacity | ideal |
      | 500,500,500,500 | 1000     | 2.0   |
      | 500,10,10,10    | 1000     | 1.0   |
      | 1000,10,10,10   | 100000   | 2.0   |

  Scenario: Measured work depends only on its arguments and seed
    Then equal seeds give equal measured steps and different seeds do not
    And the engine stand-in gives each measured sample its planned length

  Scenario Outline: Samples of a measured step are counted as <result>
    Given a measured step of "3,2,2,2" tokens
    When its samples are delivered <times> times with the text "<text>" for the first
    Then <doubled> are doubled, <missing> missing and <wrong> wrong

    Examples:
      | result  | times | text              | doubled | missing | wrong |
      | right   | 1     | tok0-a tok1-b tok2-c | 0    | 0       | 0     |
      | doubled | 2     | tok0-a tok1-b tok2-c | 4    | 0       | 0     |
      | missing | 0     | tok0-a tok1-b tok2-c | 0    | 4       | 0     |
      | torn    | 1     | tok0-a tok2-c     | 0       | 0       | 1     |

  Scenario Outline: A caller whose stream <fault> gets <result>
    When the measured caller reads the stream "<events>"
    Then it gets "<result>"

    Examples:
      | fault               | events             | result |
      | is whole            | text a,text b,done | ab     |
      | breaks off          | text a             | error  |
      | ends with a failure | text a,error       | error  |

  Scenario Outline: Percentiles of measured latencies
    Then the <share> percentile of 1 to <count> is <value>

    Examples:
      | share | count | value |
      | 0.5   | 100   | 51    |
      | 0.99  | 100   | 100   |
      | 0.99  | 1000  | 991   |
      | 0.99  | 1     | 1     |
