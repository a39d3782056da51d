Feature: Retry decision after a failed attempt
  A request that may have run is retried only if it is idempotent, and a caller is told that it did
  not run only if that is certain.

  Scenario Outline: <method> after <events>
    Given a request that is <method> with <body>
    And <left> attempts left
    When an attempt sees <events>
    Then the decision is <decision>

    Examples:
      | method         | body        | left | events                                        | decision       |
      | not idempotent | no body     | more | CONNECT_FAILED                                | RETRY          |
      | not idempotent | no body     | no   | CONNECT_FAILED                                | REPORT_NOT_RUN |
      | not idempotent | a used body | more | CONNECT_FAILED                                | REPORT_NOT_RUN |
      | not idempotent | no body     | more | SEND_STARTED,CONNECTION_LOST                  | REPORT_UNKNOWN |
      | not idempotent | no body     | more | SEND_STARTED,TIMED_OUT                        | REPORT_UNKNOWN |
      | not idempotent | no body     | more | SEND_STARTED,REFUSED                          | RETRY          |
      | not idempotent | a used body | more | SEND_STARTED,REFUSED                          | REPORT_NOT_RUN |
      | not idempotent | no body     | more | SEND_STARTED,RESPONSE_STARTED,CONNECTION_LOST | ABORT_RESPONSE |
      | idempotent     | no body     | more | SEND_STARTED,CONNECTION_LOST                  | RETRY          |
      | idempotent     | a used body | more | SEND_STARTED,CONNECTION_LOST                  | REPORT_UNKNOWN |
      | idempotent     | no body     | no   | SEND_STARTED,TIMED_OUT                        | REPORT_UNKNOWN |
      | idempotent     | no body     | more | SEND_STARTED,RESPONSE_STARTED,CONNECTION_LOST | ABORT_RESPONSE |

  Scenario: An earlier attempt may have run
    Given a request that is not idempotent with no body
    And no attempts left
    And an earlier attempt that may have run
    When an attempt sees CONNECT_FAILED
    Then the decision is REPORT_UNKNOWN
