# What the demo of Turnos Andinos starts; read by scripts/demo.sh.
STREAM_SERVICE=planilla
STREAM_ENDPOINTS=15
REQUEST_SERVICE=informes
REQUEST_ENDPOINTS=4
ZONES=(scl-quilicura scl-renca)
FIRST_GROUP=clinicas
# SERVICE,ADDRESS,PER_S,FLOW_S,BYTES,WORK_MS
LOADS=(
  planilla,10.20.0.1:80,25,20,200,0
  planilla,10.20.0.2:80,15,20,200,0
  informes,10.20.1.1:80,2,0,60000,300
  informes,10.20.1.2:80,1,0,60000,300
)
