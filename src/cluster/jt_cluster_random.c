/* Deterministic random numbers of the simulated cluster. */
#include "jt_cluster_private.h"

/* SplitMix64 (Steele, Lea and Flood, 2014). */
uint64_t cluster_random64(struct jt_cluster *cluster)
{
	uint64_t z = cluster->random_state += 0x9e3779b97f4a7c15ull;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

uint32_t jt_cluster_random(struct jt_cluster *cluster, uint32_t below)
{
	return below ? (uint32_t)(cluster_random64(cluster) % below) : 0;
}
