Feature: Inferred health of an upstream
  Observations of the host's own traffic determine the state and the in-flight limit.

  Scenario Outline: <name>
    Given an upstream that is <state>
    When it shows <observations>
    Then it is <then> with a limit of <limit> of 4

    Examples:
      | name                             | state     | observations                                | then        | limit |
      | new                              | new       | nothing                                     | COLD        | 1     |
      | one success without a report     | new       | success                                     | COLD        | 1     |
      | reports itself warm              | new       | warm*7                                      | WARM        | 4     |
      | eight successes without a report | new       | success*8                                   | COLD        | 2     |
      | turns cold without warning       | warm      | refusal                                     | COLD        | 1     |
      | reports itself cold              | warm      | cold                                        | COLD        | 1     |
      | one time-out                     | warm      | timeout                                     | COLD        | 1     |
      | three time-outs                  | warm      | timeout*3                                   | UNREACHABLE | 0     |
      | lost connections                 | warm      | lost*3                                      | UNREACHABLE | 0     |
      | a trial after backoff            | warm      | lost*3,pause                                | UNREACHABLE | 1     |
      | a trial that succeeds            | warm      | lost*3,pause,success                        | COLD        | 1     |
      | failures with a success between  | warm      | lost*2,success,lost*2                       | COLD        | 1     |
      | leaving                          | warm      | leaving                                     | LEAVING     | 0     |
      | leaving stays leaving            | warm      | leaving,warm*9,lost*3                       | LEAVING     | 0     |
      | listed as live again             | warm      | leaving,listed                              | COLD        | 1     |
      | state expired                    | warm      | expiry                                      | COLD        | 1     |
      | leaving and state expired        | warm      | leaving,expiry                              | LEAVING     | 0     |
      | server errors keep the state     | warm      | error*9                                     | WARM        | 4     |
