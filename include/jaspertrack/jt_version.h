/* Version of every program of the project. */
#ifndef JT_VERSION_H
#define JT_VERSION_H

#define JT_VERSION "0.1.0"

#endif
