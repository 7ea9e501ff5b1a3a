# Arguments: fault, flag of enum jt_fault, first seed.
jt_test_fault_detected(replica 1 2)
jt_test_fault_detected(barrier 2 5)
jt_test_fault_detected(lease 4 3)
jt_test_fault_detected(sticky 8 5)
jt_test_fault_detected(quarantine 16 3)
jt_test_fault_detected(defaults 32 1)
jt_test_fault_detected(handover 64 1)
jt_test_fault_detected(admission 128 2)
jt_test_fault_detected(vote 256 752)
# Checks that the replay of a trace detects an injected fault. Arguments: fault,
# flag of enum jt_fault, trace.
function(jt_test_replay_fault_detected fault flags trace)
  add_test(NAME proof_replay_needs_${fault}
    COMMAND jaspertrack-lab replay ${CMAKE_SOURCE_DIR}/traces/${trace}.jsonl
      --break ${flags})
  set_tests_properties(proof_replay_needs_${fault} PROPERTIES
    WILL_FAIL TRUE)
endfunction()
jt_test_replay_fault_detected(replica 1 crash-during-drain)
jt_test_replay_fault_detected(barrier 2 rolling-leave)
jt_test_replay_fault_detected(sticky 8 pause-and-cut)
jt_test_replay_fault_detected(handover 64 zone-loss-and-return)
# Checks that at least one of 400 director fuzz runs detects an injected fault.
# Arguments: fault, flag of enum jt_director_fault.
function(jt_test_director_fault_detected fault flags)
  add_test(NAME proof_director_needs_${fault}
    COMMAND fuzz_director --break ${flags} --seeds 1 400 2000)
  set_tests_properties(proof_director_needs_${fault} PROPERTIES
    WILL_FAIL TRUE)
endfunction()
jt_test_director_fault_detected(proof_of_death 1)
jt_test_director_fault_detected(routing_version 4)
jt_test_director_fault_detected(draining 16)
jt_test_director_fault_detected(gone_entries 32)
jt_test_director_fault_detected(entry_revision 64)
jt_test_director_fault_detected(zone_drain 128)
jt_test_director_fault_detected(births 512)
jt_test_director_fault_detected(admission_of_placed 1024)
jt_test_director_fault_detected(flows_of_failing_ones 2048)
