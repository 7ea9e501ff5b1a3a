# What the demo of Sabarmati starts; read by scripts/demo.sh.
STREAM_SERVICE=flagcore
STREAM_ENDPOINTS=15
REQUEST_SERVICE=snapvault
REQUEST_ENDPOINTS=4
ZONES=(amd-hall-a amd-hall-b)
FIRST_GROUP=fintech
# SERVICE,ADDRESS,PER_S,FLOW_S,BYTES,WORK_MS
LOADS=(
  flagcore,10.20.0.1:80,25,25,400,0
  flagcore,10.20.0.2:80,15,25,400,0
  flagcore,10.20.0.3:80,5,10,400,0
  snapvault,10.20.1.1:80,3,0,120000,150
)
