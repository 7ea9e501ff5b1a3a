# Arguments: feature, flag of enum jt_break, first seed.
jt_proof(replica 1 2)
jt_proof(barrier 2 5)
jt_proof(lease 4 3)
jt_proof(sticky 8 5)
jt_proof(quarantine 16 3)
jt_proof(defaults 32 1)
jt_proof(handover 64 1)
jt_proof(admission 128 2)
jt_proof(vote 256 752)
# Checks that the replay of a trace fails when a feature is switched off.
function(jt_replay_proof feature flags trace)
  add_test(NAME proof_replay_needs_${feature}
    COMMAND jaspertrack-lab replay ${CMAKE_SOURCE_DIR}/traces/${trace}.jsonl
      --break ${flags})
  set_tests_properties(proof_replay_needs_${feature} PROPERTIES
    WILL_FAIL TRUE)
endfunction()
jt_replay_proof(replica 1 crash-during-drain)
jt_replay_proof(barrier 2 rolling-leave)
jt_replay_proof(sticky 8 pause-and-cut)
jt_replay_proof(handover 64 zone-loss-and-return)
# Checks that at least one of 400 director fuzz runs fails when a feature is
# switched off. Arguments: feature, flag of enum jt_director_break.
function(jt_director_proof feature flags)
  add_test(NAME proof_director_needs_${feature}
    COMMAND fuzz_director --break ${flags} --seeds 1 400 2000)
  set_tests_properties(proof_director_needs_${feature} PROPERTIES
    WILL_FAIL TRUE)
endfunction()
jt_director_proof(proof_of_death 1)
jt_director_proof(routing_version 4)
jt_director_proof(draining 16)
jt_director_proof(gone_entries 32)
jt_director_proof(entry_revision 64)
jt_director_proof(zone_drain 128)
jt_director_proof(births 512)
jt_director_proof(admission_of_placed 1024)
jt_director_proof(flows_of_failing_ones 2048)
